"""Graceful stop of a front."""

from __future__ import annotations

import asyncio
import logging

from celerywharf.fronts._gateway import Gateway

logger = logging.getLogger(__name__)

# The load balancer checks each second and stops sending connections after the
# second failed check.
BALANCER_REACTION_S = 2.3
CHECK_PERIOD_S = 0.1
# Part of the grace time that is reserved for the last answers and the exit of
# the process.
STOP_RESERVE_S = 0.4
# Answers that have arrived by the end of the grace time are passed on first.
LAST_ANSWERS_S = 0.05
LAST_WRITES_S = 0.1
WRITE_CHECK_PERIOD_S = 0.01


class GracefulStop:
    """Drains a front before it stops.

    Fails the health check until the load balancer sends no new connections,
    then closes idle connections until none is left or the time is over.
    Requests that are still open then are answered with an error.

    Attributes:
        relay_gateway: serves requests that other hosts pass on; None if there
            is none.
    """

    def __init__(self, gateway: Gateway, grace_s: float) -> None:
        self.gateway = gateway
        self.relay_gateway: Gateway | None = None
        self.grace_s = grace_s

    async def run(self) -> None:
        """Return when all connections are closed or the grace time is over."""
        # The platform's grace time goes on while the machine is suspended.
        now = self.gateway.admission.boot_time_s
        ends_s = now() + self.grace_s - STOP_RESERVE_S
        self.gateway.admission.drain(ends_s)
        logger.info('leaving', extra={'requests': self.gateway.count_active()})
        await asyncio.sleep(min(BALANCER_REACTION_S, ends_s - now()))
        while now() < ends_s:
            self.gateway.close_idle()
            if not self.gateway.readers and not self._serves_others():
                return
            await asyncio.sleep(CHECK_PERIOD_S)
        await self._answer_the_rest()

    async def _answer_the_rest(self) -> None:
        await asyncio.sleep(LAST_ANSWERS_S)
        answered = self.gateway.fail_open_requests()
        logger.info('grace time over', extra={'requests': answered})
        for _ in range(round(LAST_WRITES_S / WRITE_CHECK_PERIOD_S)):
            if not self.gateway.readers:
                return
            await asyncio.sleep(WRITE_CHECK_PERIOD_S)

    def _serves_others(self) -> bool:
        relay_gateway = self.relay_gateway
        return relay_gateway is not None and relay_gateway.count_active() > 0
