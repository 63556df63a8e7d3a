"""Messages about attempts at engines."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import CelerywharfError


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """Consecutive tokens of an attempt, the first at ``offset``."""

    attempt: int
    offset: int
    tokens: list[str]


@dataclass(frozen=True, slots=True)
class EndArrived:
    """An attempt sent its end event after ``total`` tokens."""

    attempt: int
    total: int
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptPlaced:
    """Admission chose the backend server of an attempt."""

    attempt: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt's stream failed or ended without an end event."""

    attempt: int
    kind: str


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Admission found no backend server for an attempt."""

    attempt: int
    error: CelerywharfError
