"""What is decided."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import CelerywharfError


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Find a backend server and start a run from the journal's tokens."""

    attempt: int
    exclude: frozenset[str]


@dataclass(frozen=True, slots=True)
class Reattach:
    """Continue the previous owner's run at its engine."""

    attempt: int
    old_epoch: int
    old_attempt: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's stream and cancel its run.

    Attributes:
        attempt: its number.
        kind: why, such as ``silent``; empty when the engine is not at fault.
    """

    attempt: int
    kind: str = ''


@dataclass(frozen=True, slots=True)
class PauseAttempt:
    """Stop reading an attempt's stream."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Read an attempt's stream again."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChooseReplica:
    """Send the whole journal to a new replica."""

    exclude: frozenset[str]


@dataclass(frozen=True, slots=True)
class Replicate:
    """Send what is new, or just ask the replica to confirm."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Let callers have all tokens before ``offset``.

    Attributes:
        offset: number of tokens.
        finished: and the finish reason.
    """

    offset: int
    finished: bool


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the callers an error; the generation is over."""

    error: CelerywharfError


@dataclass(frozen=True, slots=True)
class Stop:
    """Drop the generation: another host owns it."""
