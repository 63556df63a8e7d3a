"""What a host knows of a request that waits, and what becomes of it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Reason(enum.StrEnum):
    """Why a waiting request is refused."""

    late = 'it cannot be served in time'
    crowded = 'too many requests wait here'
    leaving = 'this host is leaving'


@dataclass(frozen=True, slots=True)
class WaitingTicket:
    """A request for which no engine has room.

    Attributes:
        number: unique on this host, in the order of arrival.
        client_account: name of the account; empty if there is none.
        rank: how many kinds of requests are more urgent; 0 is the most urgent.
        begun: its caller has a part of the stream.
        tokens: token memory that it needs.
        arrived_s: when it arrived, monotonic seconds.
        on_time_until_s: when it becomes late, monotonic seconds.
        latest_turn_s: when it stops waiting for room and queues at an engine,
            monotonic seconds.
        deadline_s: when its caller gives up, monotonic seconds.
    """

    number: int
    client_account: str
    rank: int
    begun: bool
    tokens: int
    arrived_s: float
    on_time_until_s: float
    latest_turn_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused and has not run.

    Attributes:
        ticket: the request.
        reason: why.
        wait_s: the wait that is expected for it, seconds.
        retry_after_s: when its caller may try again, seconds.
    """

    ticket: WaitingTicket
    reason: Reason
    wait_s: float
    retry_after_s: float
