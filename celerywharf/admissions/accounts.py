"""One client account at one backend server."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field

from celerywharf.admissions.estimates import Promises
from celerywharf.admissions.tickets import Ticket, TicketId

REPORT_SLACK_S = 0.2
HISTORY_S = 10.0


@dataclass(slots=True)
class Account:
    """Running and waiting work, and the service received so far.

    Attributes:
        name: name of the client account.
        weight: its share among accounts that want more.
        limit: most requests running at once.
        running: end of the lease by ticket.
        waiting: queued tickets, the first to be granted first.
        service: seconds of service received over its weight.
        history: how many ran, with times, to compare with late reports.
        lost: how many leases ended without a word, with times.
        reported: what the last report left unexplained.
        foreign: running requests that no known grant explains.
    """

    name: str
    weight: float
    limit: int
    running: dict[TicketId, float] = field(default_factory=dict)
    waiting: list[tuple[tuple, Ticket]] = field(default_factory=list)
    service: float = 0
    history: deque[tuple[float, int]] = field(default_factory=deque)
    lost: deque[tuple[float, int]] = field(default_factory=deque)
    foreign: float = 0
    reported: float = 0
    promises: Promises = field(default_factory=Promises)

    @property
    def used(self) -> float:
        """Return the slots in use, with those no grant explains."""
        return len(self.running) + self.foreign

    @property
    def active(self) -> bool:
        """Tell whether it uses or wants anything."""
        return bool(self.running or self.waiting)

    @property
    def eligible(self) -> bool:
        """Tell whether it wants a slot and is below its limit."""
        return bool(self.waiting) and self.used + 1 <= self.limit

    @property
    def resumes(self) -> bool:
        """Tell whether the next ticket continues accepted work."""
        return bool(self.waiting) and self.waiting[0][1].resume

    def enqueue(self, ticket: Ticket, arrival: int) -> None:
        """Queue a ticket: resumed work first, then by priority, in order."""
        place = (not ticket.resume, -ticket.priority, arrival)
        bisect.insort(self.waiting, (place, ticket))

    def place_of(self, ticket_id: TicketId) -> int | None:
        """Return how many are queued before a ticket, None if it is not."""
        for place, (_, ticket) in enumerate(self.waiting):
            if ticket.id == ticket_id:
                return place
        return None

    def discard(self, ticket_id: TicketId) -> bool:
        """Take a ticket out of the queue; tell whether it was there."""
        before = len(self.waiting)
        self.waiting = [
            entry for entry in self.waiting if entry[1].id != ticket_id
        ]
        return len(self.waiting) < before

    def expire(self, now: float) -> None:
        """Drop the leases that ended; what ran may still be running."""
        ended = [
            ticket_id
            for ticket_id, end_s in self.running.items()
            if end_s <= now
        ]
        for ticket_id in ended:
            self.running.pop(ticket_id)
        if ended:
            self.foreign += len(ended)
            self.lost.append((now, len(ended)))
            self.note_running(now)

    def unexplained(self, count: float) -> None:
        """Take from a report how many requests no grant explains.

        The higher of two reports counts: two owners that disagree would
        otherwise both fill a slot the other has just filled.
        """
        self.foreign = max(count, self.reported)
        self.reported = count

    def note_running(self, now: float) -> None:
        """Remember how many run, for comparison with later reports."""
        self.history.append((now, len(self.running)))
        while self.history[0][0] < now - HISTORY_S:
            self.history.popleft()
        while self.lost and self.lost[0][0] < now - HISTORY_S:
            self.lost.popleft()

    def peak_around(self, moment_s: float) -> int:
        """Return the most that ran at about a moment of the near past.

        Leases that ended since without a word do not count: their work may
        go on under another owner.
        """
        first_s = moment_s - REPORT_SLACK_S
        last_s = moment_s + REPORT_SLACK_S
        before = [count for at_s, count in self.history if at_s <= first_s]
        during = [
            count for at_s, count in self.history if first_s < at_s <= last_s
        ]
        # The count before the window holds until the next change.
        peak = max([*before[-1:], *during], default=0)
        lost = sum(count for at_s, count in self.lost if at_s > first_s)
        return max(0, peak - lost)
