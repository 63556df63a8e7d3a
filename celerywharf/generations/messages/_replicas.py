"""Messages about replicas and other owners."""

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
        sent_s: when the acknowledged request was sent.
    """

    replica: str
    offset: int
    finished: bool
    sent_s: float


@dataclass(frozen=True, slots=True)
class ReplicaLost:
    """The replica is unreachable or no longer holds the journal.

    Attributes:
        replica: name of the host.
        sent_s: when the unanswered request was sent, infinity if the replica
            did answer.
    """

    replica: str
    sent_s: float = math.inf


@dataclass(frozen=True, slots=True)
class NoReplica:
    """No host is available as a replica."""


@dataclass(frozen=True, slots=True)
class NewerOwner:
    """A replica or engine reported a newer owner."""
