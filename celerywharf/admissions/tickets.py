"""What goes into a backend server's queue and what comes out of it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Refusal(enum.StrEnum):
    """Why a ticket got no grant."""

    none = ''
    overloaded = 'overloaded'
    limit = 'limit'
    leaving = 'leaving'
    unreachable = 'unreachable'
    not_owner = 'not_owner'


@dataclass(frozen=True, slots=True, order=True)
class TicketId:
    """Names a ticket over all hosts.

    Attributes:
        holder: host that asks.
        incarnation: which run of it.
        number: its own number for the ticket.
    """

    holder: str
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """A wish to run one request at one backend server.

    Attributes:
        id: its name.
        client_account: who pays.
        priority: higher first among tickets of one account.
        resume: continues work that was accepted before; goes first.
        deadline_s: latest time of a grant, on the owner's clock.
        may_wait: whether it may be queued.
    """

    id: TicketId
    client_account: str
    priority: int
    resume: bool
    deadline_s: float
    may_wait: bool


@dataclass(frozen=True, slots=True)
class Returned:
    """Message: a ticket is given back, granted or not.

    Attributes:
        id: its name.
        held_s: seconds it was held for useful work, 0 when none was done.
    """

    id: TicketId
    held_s: float


@dataclass(frozen=True, slots=True)
class Renewed:
    """Message: its holder still works under a grant."""

    id: TicketId
    client_account: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Message: what an engine said of itself.

    Attributes:
        capacity: requests it runs at once.
        running: requests it ran.
        age_s: how old the report was when it arrived.
        by_account: its running requests by client account.
    """

    capacity: int
    running: int
    age_s: float
    by_account: dict[str, int]


@dataclass(frozen=True, slots=True)
class Tick:
    """Message: time has passed."""


@dataclass(frozen=True, slots=True)
class Dropped:
    """Message: nothing more is admitted here, for this reason."""

    reason: Refusal


@dataclass(frozen=True, slots=True)
class Granted:
    """Action: tell the holder that it may begin."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Refused:
    """Action: tell the holder that it may not.

    Attributes:
        ticket: what is refused.
        reason: why.
        wait_s: estimated wait for a grant.
        retry_after_s: when a new try would make its deadline.
    """

    ticket: Ticket
    reason: Refusal
    wait_s: float
    retry_after_s: float


Message = Ticket | Returned | Renewed | LoadReport | Tick | Dropped
Action = Granted | Refused
