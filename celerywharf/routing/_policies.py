"""What may be repeated, for each kind of request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Idempotent:
    """A call that may run any number of times."""


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """A call that may run once at most."""


@dataclass(frozen=True, slots=True)
class ResumableStream:
    """A stream of events that may go on at another backend server.

    Attributes:
        gap_target_s: longest pause between events that is still on time.
    """

    gap_target_s: float


@dataclass(frozen=True, slots=True)
class SingleStream:
    """A stream of events that may run once at most."""


Policy = Idempotent | NonIdempotent | ResumableStream | SingleStream
