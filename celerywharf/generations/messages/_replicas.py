"""What is heard of replicas and other owners."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaStored:
    """The replica holds all tokens before ``offset``.

    Attributes:
        replica: name of the host.
        offset: number of tokens it holds.
        finished: it holds the finish reason too.
        sent_s: when the acknowledged request left.
    """

    replica: str
    offset: int
    finished: bool
    sent_s: float


@dataclass(frozen=True, slots=True)
class ReplicaLost:
    """The replica cannot be reached, or lost the journal.

    Attributes:
        replica: name of the host.
        sent_s: when the request was sent that it did not answer; infinite
            where it did answer.
    """

    replica: str
    sent_s: float = math.inf


@dataclass(frozen=True, slots=True)
class NoReplica:
    """There is no host that could be replica now."""


@dataclass(frozen=True, slots=True)
class NewerOwner:
    """A replica or engine knows a newer owner."""
