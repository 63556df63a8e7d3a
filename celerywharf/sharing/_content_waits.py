"""How long a host has lacked contents of a table."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_REPORT_S = 2.5  # contents of several megabytes usually take less
REPORT_PERIOD_S = 10.0
# After this many transfers without their content the reader does not have
# what it names.
MAX_FAILURES = 2
MAX_WAIT_S = 1.0
# Contents that are replaced faster than they come, as in a series of large
# configurations, are waited for longer: the store would be no faster.
MAX_REPLACED_WAIT_S = 15.0


@dataclass(slots=True)
class Wait:
    """A wait for contents of a table.

    Attributes:
        since_s: when the first content was found missing.
        missing: number of contents that are missing now.
        failures: transfers that have ended without their content.
        replacements: transfers that other contents have taken the place of.
        reason: why the last failed transfer ended; empty before the first.
        reported_s: when the wait was last reported; None before the first
            time.
    """

    since_s: float
    missing: int = 0
    failures: int = 0
    replacements: int = 0
    reason: str = ''
    reported_s: float | None = None

    def is_vain(self, now_s: float) -> bool:
        """Return whether the reader is not expected to give the contents.

        Not while the first transfer is under way, however long it takes: one
        that has stopped fails by itself.
        """
        waited_s = now_s - self.since_s
        if self.failures >= MAX_FAILURES and waited_s >= MAX_WAIT_S:
            return True
        return self.replacements > 0 and waited_s >= MAX_REPLACED_WAIT_S

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

    def replaced(self, table: str) -> None:
        """Record that a transfer is given up for that of other contents."""
        wait = self.waits.get(table)
        if wait is not None:
            wait.replacements += 1

    def give_up(self, table: str, now_s: float) -> Wait | None:
        """Return the wait if a table is to be read from the store instead.

        It begins anew, so that the reader is asked again if the store does
        not answer.
        """
        wait = self.waits.get(table)
        if wait is None or not wait.is_vain(now_s):
            return None
        self.waits[table] = Wait(now_s, wait.missing)
        return wait

    def ended(self, table: str) -> Wait | None:
        """Record that nothing is missing; return the wait that has ended."""
        return self.waits.pop(table, None)
