"""Messages about claims of calls that may not be repeated."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HeaderField:
    """One header of a recorded answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """A recorded answer; status 0 stands for none.

    Attributes:
        status: HTTP status.
        headers: names in lower case.
        body: content.
        complete: the body is whole; otherwise it was not kept.
    """

    status: int = 0
    headers: list[HeaderField] = field(default_factory=list)
    body: bytes = b''
    complete: bool = False


@dataclass(frozen=True, slots=True)
class ClaimFields:
    """The claim of one attempt; see ``applications`` for the meaning."""

    attempt: str
    host: str
    incarnation: int
    digest: str
    state: str
    answer: AnswerFields


@dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """Asks the host that minted a key to claim it for an attempt.

    The same question may be asked again: it is granted to the same attempt.
    """

    key: str
    client_account: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The answer to ``ClaimQuestion``.

    Attributes:
        outcome: ``granted``, ``taken``, ``full``, ``expired`` or ``invalid``.
        claim: the claim that holds the key.
    """

    outcome: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Tells the minter what became of a claimed attempt."""

    key: str
    claim: ClaimFields


@dataclass(frozen=True, slots=True)
class AttemptQuestion:
    """Asks the host that makes an attempt for its answer."""

    attempt: str


@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """The answer of an attempt, status 0 when none is known."""

    answer: AnswerFields
