"""Messages between hosts that request grants and hosts that issue them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request for a grant.

    Attributes:
        number: unique among the grant requests of its holder.
        backend_server: where the work would run.
        client_account: the account that is charged.
        priority: higher values go first among requests of one account.
        resume: whether it continues work that was accepted before.
        deadline_s: longest wait for the grant, seconds from now.
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
    """A grant that its holder still uses."""

    number: int
    backend_server: str
    client_account: str


@dataclass(frozen=True, slots=True)
class GivenBack:
    """A grant request or a grant that its holder no longer needs.

    Attributes:
        number: number of the grant request.
        backend_server: server it was requested for.
        held_s: seconds of useful work done under the grant, 0 for none.
    """

    number: int
    backend_server: str
    held_s: float


@dataclass(frozen=True, slots=True)
class GrantBatch:
    """The grants that a holder requests, renews and returns.

    Attributes:
        holder: name of the requesting host.
        incarnation: incarnation of the requesting host.
        inner: its inner address, to which the answers are sent.
        forwarded: whether another host of the owner's zone forwarded it.
        wanted: new grant requests.
        held: grants to renew.
        given_back: grant requests and grants to end.
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
    """The answer to one grant request.

    Attributes:
        number: number of the grant request.
        granted: whether the work may begin.
        reason: value of ``Refusal`` when it may not.
        wait_s: estimated wait for a grant, seconds.
        retry_after_s: seconds until a new request could be granted within
            its deadline.
    """

    number: int
    granted: bool
    reason: str
    wait_s: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Summary:
    """The load of a backend server.

    Attributes:
        backend_server: name of the server.
        running: number of grants in use.
        waiting: number of queued grant requests.
        capacity: number of slots that may be used.
    """

    backend_server: str
    running: int
    waiting: int
    capacity: int


@dataclass(frozen=True, slots=True)
class GrantAnswers:
    """Answers to grant requests, with the load of the servers concerned.

    Attributes:
        owner: name of the answering host.
        answers: one for each decided grant request.
        summaries: one for each backend server concerned.
    """

    owner: str
    answers: list[GrantAnswer]
    summaries: list[Summary]


@dataclass(frozen=True, slots=True)
class PrefixQuery:
    """Asks which of the named servers have a prefix in their cache."""

    prefix_hash: str
    backend_servers: list[str]


@dataclass(frozen=True, slots=True)
class PrefixAnswer:
    """The answer to ``PrefixQuery``: servers that probably have the prefix."""

    backend_servers: list[str]
