"""Which era of the store has lasted long enough to be relied on."""

from __future__ import annotations

import logging

from celerywharf.platform import StoreEra
from celerywharf.routing import REWRITE_S
from celerywharf.sharing._election import Reader

logger = logging.getLogger(__name__)

WRITE_PERIOD_S = 1.0


class SettledEra:
    """Tells whether the operator has had time to mend an older copy.

    A front that has just started cannot see that an era has only begun.  The
    row of its zone's reader tells: it names the newest era that had settled
    when it was written, and an older copy cannot name the era that it begins.

    Attributes:
        era: the newest era of the store that this front knows.
        settled: number of the newest era that has settled; None until the
            zone's row has been read.
        settles_at_s: when the current era will have settled, seconds of
            CLOCK_BOOTTIME; None if it has.
        written: number that this front last wrote to its zone's row.
        next_write_s: when to write it again at the earliest, same clock.
    """

    def __init__(self, era: StoreEra) -> None:
        self.era = era
        self.settled: int | None = None
        self.settles_at_s: float | None = None
        self.written = 0
        self.next_write_s = float('-inf')

    def begin(self, now_s: float) -> None:
        """Record that an era has begun, or may have begun just now."""
        self.settles_at_s = now_s + REWRITE_S

    def learn(self, row: Reader | None, now_s: float) -> bool:
        """Learn from the zone's row when this front first reads it.

        A zone without a row has had no front that could know more.

        Returns:
            Whether the current era may have begun just now.
        """
        if self.settled is not None:
            return False
        self.settled = self.era.current
        if row is None or row.settled_era >= self.era.current:
            return False
        self.settled = row.settled_era
        self.begin(now_s)
        logger.info(
            'era of the store may be new',
            extra={'era': self.era.current, 'settled_era': row.settled_era},
        )
        return True

    def write_due(self, now_s: float) -> bool:
        """Return whether the zone's reader must write its row again.

        Spaces the attempts, which may fail.
        """
        if self.settled is None or now_s < self.next_write_s:
            return False
        if self.settles_at_s is not None and now_s >= self.settles_at_s:
            self.settles_at_s = None
            self.settled = self.era.current
        if self.written >= self.settled:
            return False
        self.next_write_s = now_s + WRITE_PERIOD_S
        return True
