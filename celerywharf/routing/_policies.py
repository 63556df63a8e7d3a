"""Retry policies of routes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Idempotent:
    """A call that is safe to run any number of times."""


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """A call that must run at most once."""


@dataclass(frozen=True, slots=True)
class ResumableStream:
    """An event stream that can be resumed on another backend server.

    Attributes:
        gap_target_s: longest acceptable pause between two events.
    """

    gap_target_s: float


@dataclass(frozen=True, slots=True)
class SingleStream:
    """An event stream that must run at most once."""


Policy = Idempotent | NonIdempotent | ResumableStream | SingleStream
