"""Messages about callers, ownership and the clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """Start a new generation."""


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Continue a generation whose journal was taken from a replica.

    Attributes:
        replica: name of the replica, empty when it is this host.
    """

    replica: str


@dataclass(frozen=True, slots=True)
class CallerAttached:
    """A caller started to read the generation."""


@dataclass(frozen=True, slots=True)
class CallersGone:
    """The last caller disconnected."""


@dataclass(frozen=True, slots=True)
class CallersSlow:
    """All callers lag so far behind that engines must be paused."""


@dataclass(frozen=True, slots=True)
class CallersReady:
    """A caller caught up, so engines may be read again."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic message, sent every ``TICK_S`` seconds."""
