"""How long a host has lacked contents of a table."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_REPORT_S = 2.5  # contents of several megabytes usually take less
REPORT_PERIOD_S = 10.0


@dataclass(slots=True)
class Wait:
    """A wait for contents of a table.

    Attributes:
        since_s: when the first content was found missing.
        missing: number of contents that are missing now.
        failures: transfers that have ended without their content.
        reason: why the last of them did; empty before the first.
        reported_s: when the wait was last reported; None before the first
            time.
    """

    since_s: float
    missing: int = 0
    failures: int = 0
    reason: str = ''
    reported_s: float | None = None

    def is_due(self, now_s: float) -> bool:
        """Return whether the wait is to be reported."""
        if self.reported_s is None:
            return now_s - self.since_s >= FIRST_REPORT_S
        return now_s - self.reported_s >= REPORT_PERIOD_S


class ContentWaits:
    """Knows which tables lack contents, and since when.

    Attributes:
        waits: by table.
    """

    def __init__(self) -> None:
        self.waits: dict[str, Wait] = {}

    def lacks(self, table: str, missing: int, now_s: float) -> Wait:
        """Record that contents of a table are missing; return the wait."""
        wait = self.waits.setdefault(table, Wait(now_s))
        wait.missing = missing
        return wait

    def failed(self, table: str, reason: str) -> None:
        """Record that a transfer has ended without its content."""
        wait = self.waits.get(table)
        if wait is not None:
            wait.failures += 1
            wait.reason = reason

    def ended(self, table: str) -> Wait | None:
        """Record that nothing is missing; return the wait that has ended."""
        return self.waits.pop(table, None)
