"""Messages between hosts that want grants and hosts that give them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Wanted:
    """One wish for a grant.

    Attributes:
        number: unique among the wishes of its holder.
        backend_server: where the request would run.
        client_account: who pays.
        priority: higher first among those of one account.
        resume: continues work that was accepted before.
        deadline_s: longest wait in seconds, from now.
        may_wait: whether it may be queued.
    """

    number: int
    backend_server: str
    client_account: str
    priority: int
    resume: bool
    deadline_s: float
    may_wait: bool


@dataclass(frozen=True, slots=True)
class Held:
    """One grant that its holder still uses."""

    number: int
    backend_server: str
    client_account: str


@dataclass(frozen=True, slots=True)
class GivenBack:
    """One wish or grant that its holder no longer needs.

    Attributes:
        number: names it.
        backend_server: where it was granted.
        held_s: seconds of useful work under it, 0 for none.
    """

    number: int
    backend_server: str
    held_s: float


@dataclass(frozen=True, slots=True)
class GrantBatch:
    """What a holder wants, still holds and gives back.

    Attributes:
        holder: name of the host that asks.
        incarnation: which run of it.
        inner: its address, for the answers.
        forwarded: it came through another host of the owner's zone.
        wanted: new wishes.
        held: grants to renew.
        given_back: wishes and grants that end.
    """

    holder: str
    incarnation: int
    inner: str
    forwarded: bool
    wanted: list[Wanted]
    held: list[Held]
    given_back: list[GivenBack]


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """The answer to one wish.

    Attributes:
        number: names the wish.
        granted: whether the work may begin.
        reason: value of ``Refusal`` when it may not.
        wait_s: estimated wait for a grant, in seconds.
        retry_after_s: when a new try would make its deadline.
    """

    number: int
    granted: bool
    reason: str
    wait_s: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Summary:
    """How busy a backend server is.

    Attributes:
        backend_server: its name.
        running: grants that are out.
        waiting: wishes that are queued.
        capacity: slots that may be used.
    """

    backend_server: str
    running: int
    waiting: int
    capacity: int


@dataclass(frozen=True, slots=True)
class GrantAnswers:
    """Answers to wishes, with how busy the backend servers in question are.

    Attributes:
        owner: name of the host that answers.
        answers: one for each decided wish.
        summaries: one for each backend server in question.
    """

    owner: str
    answers: list[GrantAnswer]
    summaries: list[Summary]


@dataclass(frozen=True, slots=True)
class PrefixQuery:
    """Asks which of some backend servers hold a prefix in their cache."""

    prefix_hash: str
    backend_servers: list[str]


@dataclass(frozen=True, slots=True)
class PrefixAnswer:
    """Those of them that seem to hold it."""

    backend_servers: list[str]
