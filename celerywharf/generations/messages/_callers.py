"""What is heard of callers, and of time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Begin:
    """Start a new generation."""


@dataclass(frozen=True, slots=True)
class TakenOver:
    """Continue a generation whose journal came from a replica."""

    replica: str


@dataclass(frozen=True, slots=True)
class CallerAttached:
    """Somebody reads the generation again."""


@dataclass(frozen=True, slots=True)
class CallersGone:
    """Nobody reads the generation any more."""


@dataclass(frozen=True, slots=True)
class CallersSlow:
    """All callers lag so far behind that the engines must wait."""


@dataclass(frozen=True, slots=True)
class CallersReady:
    """A caller caught up again."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent every ``TICK_S`` seconds."""
