"""Messages to the queue of a backend server and its resulting actions."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Refusal(enum.StrEnum):
    """Why a ticket was refused; ``none`` if it was granted."""

    none = ''
    overloaded = 'overloaded'
    limit = 'limit'
    leaving = 'leaving'
    unreachable = 'unreachable'
    not_owner = 'not_owner'


@dataclass(frozen=True, slots=True, order=True)
class TicketId:
    """Identifies a ticket among all hosts.

    Attributes:
        holder: name of the host that requests the grant.
        incarnation: the run of that host.
        number: unique among the tickets of that run.
    """

    holder: str
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """Message: a request for a grant to run at one backend server.

    Attributes:
        id: identifies the ticket.
        client_account: name of the account that pays.
        priority: higher first among the tickets of one account.
        resume: whether it continues accepted work; such tickets go first.
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
    """Message: the holder returned a grant or withdrew its request.

    Attributes:
        id: identifies the ticket.
        held_s: seconds it was held for useful work, 0 if none was done.
    """

    id: TicketId
    held_s: float


@dataclass(frozen=True, slots=True)
class Renewed:
    """Message: the holder still uses a grant."""

    id: TicketId
    client_account: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Message: an engine's report of its load.

    Attributes:
        capacity: requests that it can run at once.
        running: requests that it was running.
        age_s: age of the report on arrival.
        by_account: running requests by client account.
    """

    capacity: int
    running: int
    age_s: float
    by_account: dict[str, int]


@dataclass(frozen=True, slots=True)
class Tick:
    """Message: sent at fixed intervals to expire leases and tickets."""


@dataclass(frozen=True, slots=True)
class AdmissionStopped:
    """Message: refuse all waiting tickets for this reason."""

    reason: Refusal


@dataclass(frozen=True, slots=True)
class Granted:
    """Action: notify the holder that it may start the request."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Refused:
    """Action: notify the holder that a ticket is refused.

    Attributes:
        ticket: the refused ticket.
        reason: why it is refused.
        wait_s: estimated wait for a grant.
        retry_after_s: seconds after which a retry would meet its deadline.
    """

    ticket: Ticket
    reason: Refusal
    wait_s: float
    retry_after_s: float


Message = Ticket | Returned | Renewed | LoadReport | Tick | AdmissionStopped
Action = Granted | Refused
