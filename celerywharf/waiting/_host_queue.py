"""Order and refusal of the requests that wait at a host for room."""

from __future__ import annotations

import math
from collections import Counter, deque
from random import Random

from celerywharf.waiting._estimates import (
    DrainRate,
    RetrySchedule,
    spread_retry_after_s,
)
from celerywharf.waiting._tickets import Reason, Refused, WaitingTicket

# Each fourth turn goes to those that have used up half of the time until they
# are late, in the order of arrival.  So no kind of request, client account or
# size gets less than a quarter of the turns while it is in need.
LEAST_SHARE_PERIOD = 4
NEED_SHARE = 0.5
# Smaller requests go before one that does not fit this many times at most.
MAX_PASSES = 4
MAX_WAITING = 512
SERVED_SAMPLES = 64
MIN_SAMPLES = 16
STOPPING_RETRY_AFTER_S = 1.0


class HostQueue:
    """Decides which waiting request is placed next, and which is refused.

    Answers the load of a service whose engines lack room: bursts of a less
    urgent kind while engines are down, client accounts that send more than
    others, long prompts among short ones, and callers that repeat at once.
    All that waits here is lost with the host; nothing of it has run.

    Attributes:
        waiting: by number.
        drain: average time between two turns while requests wait.
        turns: turns granted so far.
        served: tokens placed for each client account since requests wait.
        passes: how often smaller requests went before one that did not fit.
        lacking_tokens: requests of this size and above found no room.
        streams_s: how long the latest complete streams took, seconds.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.waiting: dict[int, WaitingTicket] = {}
        self.drain = DrainRate()
        self.turns = 0
        self.served: Counter[str] = Counter()
        self.passes: Counter[int] = Counter()
        self.lacking_tokens = math.inf
        self.streams_s: deque[float] = deque(maxlen=SERVED_SAMPLES)
        self.schedules: dict[str, RetrySchedule] = {}
        self.last_turn_s: float = 0

    @property
    def shortest_stream_s(self) -> float:
        """Return the time that no stream takes less than; 0 if unknown."""
        if len(self.streams_s) < MIN_SAMPLES:
            return 0
        return min(self.streams_s)

    def enqueue(self, ticket: WaitingTicket, now: float) -> Refused | None:
        """Queue a request, or return why it is refused at once."""
        if not self.waiting:
            self.last_turn_s = now
            self.served.clear()
            self.schedules.clear()
        if ticket.client_account not in self.served:
            self.served[ticket.client_account] = min(
                (
                    self.served[other.client_account]
                    for other in self.waiting.values()
                ),
                default=0,
            )
        self.waiting[ticket.number] = ticket
        reason = self._reason_to_refuse(ticket, now)
        if reason is None and len(self.waiting) > MAX_WAITING:
            reason = Reason.crowded
        return None if reason is None else self._refuse(ticket, reason, now)

    def discard(self, number: int) -> None:
        """Forget a request that does not wait any more."""
        self.waiting.pop(number, None)
        self.passes.pop(number, None)

    def next(self, now: float) -> WaitingTicket | None:
        """Return the request whose turn it is; None if none may fit."""
        for ticket in self._ordered(now):
            if ticket.tokens < self.lacking_tokens:
                return ticket
            self.passes[ticket.number] += 1
            if self.passes[ticket.number] > MAX_PASSES:
                return None
        return None

    def placed(self, ticket: WaitingTicket, now: float) -> None:
        """Record that a request that had waited was placed."""
        self.turns += 1
        self.served[ticket.client_account] += max(ticket.tokens, 1)
        self.drain.record_hold(now - self.last_turn_s)
        self.last_turn_s = now

    def lacked(self, ticket: WaitingTicket) -> None:
        """Record that no engine had room for a request."""
        self.lacking_tokens = min(self.lacking_tokens, ticket.tokens)

    def room_came(self) -> None:
        """Record that engines may have room again."""
        self.lacking_tokens = math.inf

    def stream_ended(self, took_s: float) -> None:
        """Record how long a complete stream took at its engine."""
        self.streams_s.append(took_s)

    def past_latest_turn(self, now: float) -> list[WaitingTicket]:
        """Return the requests that must not wait for room any longer."""
        return [
            ticket
            for ticket in self._ordered(now)
            if now >= ticket.latest_turn_s
        ]

    def refuse_late(self, now: float) -> list[Refused]:
        """Refuse the requests that surely cannot be served in time."""
        return [
            self._refuse(ticket, Reason.late, now)
            for ticket in tuple(self.waiting.values())
            if self._reason_to_refuse(ticket, now) is not None
        ]

    def refuse_all(self, now: float) -> list[Refused]:
        """Refuse all requests, because the host stops."""
        return [
            self._refuse(ticket, Reason.leaving, now)
            for ticket in tuple(self.waiting.values())
        ]

    def _ordered(self, now: float) -> list[WaitingTicket]:
        ordered = sorted(
            self.waiting.values(), key=lambda ticket: self._order(ticket, now)
        )
        if (self.turns + 1) % LEAST_SHARE_PERIOD:
            return ordered
        in_need = [ticket for ticket in ordered if _is_in_need(ticket, now)]
        others = [ticket for ticket in ordered if ticket not in in_need]
        return sorted(in_need, key=_by_arrival) + others

    def _order(self, ticket: WaitingTicket, now: float) -> tuple:
        is_late = now > ticket.on_time_until_s
        return (
            (not ticket.begun, ticket.rank, is_late),
            self.served[ticket.client_account],
            ticket.deadline_s if is_late else ticket.on_time_until_s,
            ticket.number,
        )

    def _reason_to_refuse(
        self, ticket: WaitingTicket, now: float
    ) -> Reason | None:
        left_s = ticket.deadline_s - now
        if ticket.begun:
            return None if left_s > 0 else Reason.late
        # At its latest turn it is sent even if no room is known.
        least_wait_s = min(
            self.drain.wait_lower_bound_s(self._ahead(ticket, now), 1),
            ticket.latest_turn_s - now,
        )
        least_s = max(least_wait_s, 0) + self.shortest_stream_s
        return Reason.late if least_s >= left_s else None

    def _ahead(self, ticket: WaitingTicket, now: float) -> int:
        own = self._order(ticket, now)
        return sum(
            self._order(other, now) < own for other in self.waiting.values()
        )

    def _refuse(
        self, ticket: WaitingTicket, reason: Reason, now: float
    ) -> Refused:
        wait_s = self.drain.wait_s(self._ahead(ticket, now), 1)
        left_s = max(ticket.deadline_s - now, 0)
        expected_s = STOPPING_RETRY_AFTER_S
        if reason is not Reason.leaving:
            schedule = self.schedules.setdefault(
                ticket.client_account, RetrySchedule(updated_s=now)
            )
            expected_s = schedule.retry_after_s(
                max(0, wait_s + self.shortest_stream_s - left_s),
                self.drain.requests_per_s(1),
                now,
            )
        self.discard(ticket.number)
        return Refused(
            ticket,
            reason,
            wait_s,
            spread_retry_after_s(expected_s, left_s, self.random),
        )


def _by_arrival(ticket: WaitingTicket) -> tuple[float, int]:
    return ticket.arrived_s, ticket.number


def _is_in_need(ticket: WaitingTicket, now: float) -> bool:
    allowed_s = ticket.on_time_until_s - ticket.arrived_s
    return now - ticket.arrived_s >= allowed_s * NEED_SHARE
