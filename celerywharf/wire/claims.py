"""Messages about claims of calls that are not idempotent."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HeaderField:
    """A header of a recorded answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """A recorded answer of an application.

    Attributes:
        status: HTTP status, 0 when there is no answer.
        headers: headers with names in lower case.
        body: content of the body; empty unless ``complete``.
        complete: whether the body was kept.
    """

    status: int = 0
    headers: list[HeaderField] = field(default_factory=list)
    body: bytes = b''
    complete: bool = False


@dataclass(frozen=True, slots=True)
class ClaimFields:
    """The claim of one attempt; see ``celerywharf.applications``."""

    attempt: str
    host: str
    incarnation: int
    digest: str
    state: str
    answer: AnswerFields


@dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """Asks the host that minted a key to claim the key for an attempt.

    The request may be repeated: a claim is granted again to the attempt that
    holds it.
    """

    key: str
    client_account: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The reply to ``ClaimQuestion``.

    Attributes:
        outcome: ``granted``, ``taken``, ``full``, ``expired`` or ``invalid``.
        claim: the claim that holds the key.
    """

    outcome: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Reports a claimed attempt's outcome to the host that minted its key."""

    key: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class AttemptQuestion:
    """Asks the host that runs an attempt for the application's answer."""

    attempt: str


@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """The reply to ``AttemptQuestion``: status 0 when no answer is known."""

    answer: AnswerFields
