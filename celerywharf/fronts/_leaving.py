"""A graceful stop."""

from __future__ import annotations

import asyncio
import logging

from celerywharf.fronts._edge import Edge
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

# The balancer looks each second and believes the second miss.
BALANCER_NOTICES_S = 2.3
CHECK_PERIOD_S = 0.1
# Calls that come later are refused: each has this long to end.
LAST_CALL_S = 2.5
# Part of the grace time that is left to the end of the process.
STOP_RESERVE_S = 0.4


class Leaving:
    """Lets the balancer turn away, then callers, then ends."""

    def __init__(
        self,
        edge: Edge,
        timers: TimerService,
        grace_s: float,
    ) -> None:
        self.edge = edge
        self.timers = timers
        self.grace_s = grace_s

    async def run(self) -> None:
        """Return when no request is under way or the grace time is over."""
        started_s = self.timers.now()
        ends_s = started_s + self.grace_s - STOP_RESERVE_S
        self.edge.admittance.leaving = True
        logger.info('leaving', extra={'requests': self.edge.busy()})
        await asyncio.sleep(BALANCER_NOTICES_S)
        while self.timers.now() < ends_s:
            if self.timers.now() > ends_s - LAST_CALL_S:
                self.edge.admittance.last_call_over = True
            self.edge.close_idle()
            if not self.edge.readers:
                return
            await asyncio.sleep(CHECK_PERIOD_S)
