"""Actions that the decision classes return."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import CelerywharfError


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt that continues the journal's tokens.

    Attributes:
        attempt: number of the attempt.
        exclude: names of backend servers that must not be chosen.
    """

    attempt: int
    exclude: frozenset[str]


@dataclass(frozen=True, slots=True)
class Reattach:
    """Continue the previous owner's attempt at its engine.

    Attributes:
        attempt: number of the new attempt.
        old_epoch: epoch of the previous owner.
        old_attempt: number of the attempt that is continued.
        backend_server: name of the engine that runs it.
    """

    attempt: int
    old_epoch: int
    old_attempt: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's stream and cancel its work at the engine.

    Attributes:
        attempt: number of the attempt.
        kind: failure kind such as ``silent``, empty when the engine is not
            at fault.
    """

    attempt: int
    kind: str = ''


@dataclass(frozen=True, slots=True)
class PauseAttempt:
    """Stop reading an attempt's stream."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Resume reading an attempt's stream."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ChooseReplica:
    """Choose a new replica and send it the whole journal.

    Attributes:
        exclude: names of hosts that must not be chosen.
    """

    exclude: frozenset[str]


@dataclass(frozen=True, slots=True)
class Replicate:
    """Send new tokens to the replica.

    Without new tokens an empty request is sent, which the replica
    acknowledges.
    """


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver all tokens before ``offset`` to the callers.

    Attributes:
        offset: number of tokens.
        finished: deliver the finish reason too.
    """

    offset: int
    finished: bool


@dataclass(frozen=True, slots=True)
class Fail:
    """End the generation and send the callers an error."""

    error: CelerywharfError


@dataclass(frozen=True, slots=True)
class Stop:
    """Drop the generation because another host owns it."""
