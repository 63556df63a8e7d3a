"""One client account at one backend server."""

from __future__ import annotations

import bisect
from collections import deque
from dataclasses import dataclass, field

from celerywharf.admissions.tickets import Ticket, TicketId

PEAK_WINDOW_S = 1.0


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
        peaks: how many ran, with times, to compare with stale reports.
        foreign: running requests that no known grant explains.
    """

    name: str
    weight: float
    limit: int
    running: dict[TicketId, float] = field(default_factory=dict)
    waiting: list[tuple[tuple, Ticket]] = field(default_factory=list)
    service: float = 0
    peaks: deque[tuple[float, int]] = field(default_factory=deque)
    foreign: float = 0

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

    def discard(self, ticket_id: TicketId) -> bool:
        """Take a ticket out of the queue; tell whether it was there."""
        before = len(self.waiting)
        self.waiting = [
            entry for entry in self.waiting if entry[1].id != ticket_id
        ]
        return len(self.waiting) < before

    def note_running(self, now: float) -> None:
        """Remember how many run, for comparison with later reports."""
        self.peaks.append((now, len(self.running)))

    def peak_since(self, since_s: float) -> int:
        """Return the most that ran at any time since then."""
        while len(self.peaks) > 1 and self.peaks[1][0] <= since_s:
            self.peaks.popleft()
        counts = [count for _, count in self.peaks]
        return max([*counts, len(self.running)])
