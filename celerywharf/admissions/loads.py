"""How much of a backend server may be used, by its late reports."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.admissions.tickets import LoadReport

UNREPORTED_CAPACITY = 4
SILENT_AFTER_S = 3.0
STALE_FADE_S = 5.0
READMIT_S = 10.0
READMIT_FIRST_PART = 0.25


@dataclass(slots=True)
class LoadView:
    """The last report, discounted by its age.

    Attributes:
        polled: whether the backend server reports its load at all.
        capacity: requests it may run at once.
        made_s: when the last report was made, on the local clock.
        heard_s: when the last report arrived.
        readmitted_s: since when it is being readmitted.
    """

    polled: bool
    capacity: int
    started_s: float
    made_s: float | None = None
    heard_s: float | None = None
    readmitted_s: float | None = None

    def take(self, report: LoadReport, now: float) -> None:
        """Take a report in."""
        if self.silent(now):
            self.readmitted_s = now
        self.capacity = report.capacity
        self.made_s = now - report.age_s
        self.heard_s = now

    def silent(self, now: float) -> bool:
        """Tell whether reports have stopped coming."""
        if not self.polled:
            return False
        heard_s = self.started_s if self.heard_s is None else self.heard_s
        return now - heard_s > SILENT_AFTER_S

    def usable(self, now: float) -> float:
        """Return the slots that may be used now.

        A backend server that was silent is filled again slowly.
        """
        if self.silent(now):
            return 0
        if self.readmitted_s is None:
            return self.capacity
        elapsed_s = now - self.readmitted_s
        if elapsed_s >= READMIT_S:
            self.readmitted_s = None
            return self.capacity
        part = READMIT_FIRST_PART
        part += (1 - part) * elapsed_s / READMIT_S
        return max(1, int(self.capacity * part))

    def trust(self, now: float) -> float:
        """Return how much the last report still says, from 1 down to 0."""
        if self.made_s is None:
            return 0
        return max(0, 1 - (now - self.made_s) / STALE_FADE_S)
