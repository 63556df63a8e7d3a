"""Usable capacity of a backend server according to its load reports."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.admissions.tickets import LoadReport

UNREPORTED_CAPACITY = 4  # until the first report arrives
SILENCE_TIMEOUT_S = 3.0
REPORT_MAX_AGE_S = 5.0  # confidence in a report falls linearly to 0
READMISSION_S = 10.0
READMISSION_INITIAL_FRACTION = 0.25


@dataclass(slots=True)
class LoadView:
    """The last load report, discounted by its age.

    Attributes:
        polled: whether the backend server reports its load at all.
        capacity: requests that it can run at once.
        started_s: when this view was created.
        measured_s: when the last report was made, on the local clock.
        received_s: when the last report arrived.
        readmission_start_s: when readmission after a silence began; None
            when it is complete.
    """

    polled: bool
    capacity: int
    started_s: float
    measured_s: float | None = None
    received_s: float | None = None
    readmission_start_s: float | None = None

    def apply(self, report: LoadReport, now: float) -> None:
        """Apply a report; one that ends a silence starts readmission."""
        if self.silent(now):
            self.readmission_start_s = now
        self.capacity = report.capacity
        self.measured_s = now - report.age_s
        self.received_s = now

    def silent(self, now: float) -> bool:
        """Return whether no report has arrived within the time-out.

        Always False for a backend server that is not polled.
        """
        if not self.polled:
            return False
        received_s = (
            self.started_s if self.received_s is None else self.received_s
        )
        return now - received_s > SILENCE_TIMEOUT_S

    def usable(self, now: float) -> float:
        """Return the number of slots that may be used now.

        It is 0 during a silence, then rises over ``READMISSION_S`` so that a
        backend server that comes back is not filled at once.
        """
        if self.silent(now):
            return 0
        if self.readmission_start_s is None:
            return self.capacity
        elapsed_s = now - self.readmission_start_s
        if elapsed_s >= READMISSION_S:
            self.readmission_start_s = None
            return self.capacity
        fraction = READMISSION_INITIAL_FRACTION
        fraction += (1 - fraction) * elapsed_s / READMISSION_S
        return max(1, int(self.capacity * fraction))

    def confidence(self, now: float) -> float:
        """Return the confidence in the last report, from 1 (new) to 0.

        It is 0 before the first report.
        """
        if self.measured_s is None:
            return 0
        return max(0, 1 - (now - self.measured_s) / REPORT_MAX_AGE_S)
