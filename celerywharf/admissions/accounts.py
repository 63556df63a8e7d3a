"""State of one client account in the queue of one backend server."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field

from celerywharf.admissions.tickets import Ticket, TicketId
from celerywharf.waiting import RetrySchedule

REPORT_TIME_TOLERANCE_S = 0.2
HISTORY_S = 10.0  # how far back reports can be compared with the grants


@dataclass(slots=True)
class Account:
    """Running and waiting work of an account and the service it received.

    Attributes:
        name: name of the client account.
        weight: relative share among accounts that compete for slots.
        limit: maximum number of requests running at once.
        running: end of the lease by ticket.
        waiting: queued tickets with their sort keys, in the order of grants.
        received_service: slot-seconds received, divided by the weight.
        running_history: times and numbers of running requests, to compare
            with reports that arrive late.
        expirations: times and numbers of leases that expired.
        unexplained: running requests that no known grant accounts for.
        last_unexplained: the unexplained requests of the last report alone.
        retry_schedule: spreads the retries of refused requests.
    """

    name: str
    weight: float
    limit: int
    running: dict[TicketId, float] = field(default_factory=dict)
    waiting: list[tuple[tuple, Ticket]] = field(default_factory=list)
    received_service: float = 0
    running_history: deque[tuple[float, int]] = field(default_factory=deque)
    expirations: deque[tuple[float, int]] = field(default_factory=deque)
    unexplained: float = 0
    last_unexplained: float = 0
    retry_schedule: RetrySchedule = field(default_factory=RetrySchedule)

    @property
    def used_slots(self) -> float:
        """Return the slots in use, including unexplained requests."""
        return len(self.running) + self.unexplained

    @property
    def active(self) -> bool:
        """Return whether the account has running or waiting work."""
        return bool(self.running or self.waiting)

    @property
    def eligible(self) -> bool:
        """Return whether a ticket waits and the limit leaves room for it."""
        return bool(self.waiting) and self.used_slots + 1 <= self.limit

    @property
    def next_is_resume(self) -> bool:
        """Return whether the next ticket continues accepted work."""
        return bool(self.waiting) and self.waiting[0][1].resume

    def enqueue(self, ticket: Ticket, arrival: int) -> None:
        """Queue a ticket: resumed work first, then by priority and arrival."""
        sort_key = (not ticket.resume, -ticket.priority, arrival)
        bisect.insort(self.waiting, (sort_key, ticket))

    def position_of(self, ticket_id: TicketId) -> int | None:
        """Return how many tickets are ahead of one; None if not queued."""
        for position, (_, ticket) in enumerate(self.waiting):
            if ticket.id == ticket_id:
                return position
        return None

    def discard(self, ticket_id: TicketId) -> bool:
        """Remove a ticket from the queue; return whether it was queued."""
        before = len(self.waiting)
        self.waiting = [
            entry for entry in self.waiting if entry[1].id != ticket_id
        ]
        return len(self.waiting) < before

    def expire(self, now: float) -> None:
        """Drop expired leases and count their requests as unexplained.

        The requests may still be running, since the holder only failed to
        renew.
        """
        ended = [
            ticket_id
            for ticket_id, end_s in self.running.items()
            if end_s <= now
        ]
        for ticket_id in ended:
            self.running.pop(ticket_id)
        if ended:
            self.unexplained += len(ended)
            self.expirations.append((now, len(ended)))
            self.record_running(now)

    def update_unexplained(self, count: float) -> None:
        """Set the unexplained requests from a new report.

        The higher number of the last two reports counts.  Otherwise two hosts
        that both act as owner could each fill a slot that the other has just
        filled.
        """
        self.unexplained = max(count, self.last_unexplained)
        self.last_unexplained = count

    def record_running(self, now: float) -> None:
        """Record the number of running requests and trim the history."""
        self.running_history.append((now, len(self.running)))
        while self.running_history[0][0] < now - HISTORY_S:
            self.running_history.popleft()
        while self.expirations and self.expirations[0][0] < now - HISTORY_S:
            self.expirations.popleft()

    def peak_running_near(self, moment_s: float) -> int:
        """Return the peak of running requests around a recent time.

        Leases that expired since then do not count: their work may continue
        under another owner.
        """
        first_s = moment_s - REPORT_TIME_TOLERANCE_S
        last_s = moment_s + REPORT_TIME_TOLERANCE_S
        before = [
            count for at_s, count in self.running_history if at_s <= first_s
        ]
        during = [
            count
            for at_s, count in self.running_history
            if first_s < at_s <= last_s
        ]
        # The last count before the window holds until the first in it.
        peak = max([*before[-1:], *during], default=0)
        expired = sum(
            count for at_s, count in self.expirations if at_s > first_s
        )
        return max(0, peak - expired)
