"""Finds out whether servers were lost under sends that were given up."""

from __future__ import annotations

import asyncio
import logging

from celerywharf.adapters.transports import HttpRequest
from celerywharf.backends import LossCheck, LossChecks, Suspicion
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import ForwardingContext
from celerywharf.structures import Verdict
from celerywharf.tasks import Part

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # a round trip between regions takes 40 ms


class LossProbes(Part):
    """Connects to servers some time after a send to them was given up.

    Nothing is sent on the connections.  A server that has stopped responding
    accepts them as long as its process is there.

    Attributes:
        context: components of the host.
        checks: decides which servers are connected to.
    """

    def __init__(self, context: ForwardingContext) -> None:
        super().__init__()
        self.context = context
        health = context.health
        self.checks = LossChecks(
            health.directory, health.loads, health.reachability
        )

    def start(self) -> None:
        """Start to check the servers of sends that are given up."""
        super().start()
        self.context.quarantine.on_given_up = self._on_given_up

    async def stop(self) -> None:
        """Check no more servers."""
        self.context.quarantine.on_given_up = None
        await super().stop()

    def _on_given_up(self, incarnation: str) -> None:
        check = self.checks.given_up(incarnation, self._now())
        if check is not None:
            self.spawn(self._check_repeatedly(check))

    async def _check_repeatedly(self, check: LossCheck) -> None:
        try:
            while True:
                await asyncio.sleep(max(check.due_s - self._now(), 0))
                if await self._is_lost(check):
                    self._record_loss(check)
                    return
                if not self.checks.checked(check, self._now()):
                    return
        finally:
            self.checks.ended(check)

    async def _is_lost(self, check: LossCheck) -> bool:
        suspicion = self.checks.assess(check)
        if suspicion is not Suspicion.open:
            return suspicion is Suspicion.confirmed
        if await self._accepts_connections(check):
            return False
        # It may have answered or announced its departure meanwhile.
        return self.checks.assess(check) is not Suspicion.unfounded

    async def _accepts_connections(self, check: LossCheck) -> bool:
        """Return whether a server accepts connections, or may do so."""
        server = check.server
        request = HttpRequest(
            'GET',
            f'http://{server.address}/',
            timeout_s=CONNECT_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            fresh_connection=True,
            connect_only=True,
        )
        self.context.metrics.count('loss_probes', service=server.service)
        try:
            await self.context.transport.fetch(request)
        except TransportError as error:
            return error.late or error.verdict is not Verdict.not_run
        if self._is_in_use(check):
            self.context.health.reached(server)
        return True

    def _record_loss(self, check: LossCheck) -> None:
        server = check.server
        logger.info(
            'lost under a send that was given up',
            extra={'backend_server': server.incarnation},
        )
        if self._is_in_use(check):
            self.context.health.unreachable(server, self._now())
        self.context.quarantine.unreachable(server.incarnation)

    def _is_in_use(self, check: LossCheck) -> bool:
        return self.context.health.directory.accepts(check.server)

    def _now(self) -> float:
        return self.context.timers.now()
