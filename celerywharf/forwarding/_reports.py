"""Asks engines for their load when a stream has to be placed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from celerywharf.adapters.transports import HttpRequest, Transport
from celerywharf.backends import (
    BackendServer,
    EngineReport,
    Loads,
    ServerHealth,
)
from celerywharf.exceptions import ProtocolError, TransportError
from celerywharf.platform import PROBE_PATH, decode_report
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.25  # a round trip between regions takes 40 ms
# Engines report their load of some 100 ms ago; asking more often tells no more.
REPORT_FRESH_S = 0.2
MOST_ROUNDS = 4  # eight engines of a service tell enough at any load


class Reports:
    """Fetches reports of engines, each at most once within a short time.

    Answers the load of streams over many hosts: no host sees what the others
    send, and an engine that has crashed keeps its entry for seconds.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        loads: Loads,
        health: ServerHealth,
    ) -> None:
        self.transport = transport
        self.timers = timers
        self.loads = loads
        self.health = health

    async def best(
        self,
        rank: Callable[[], list[BackendServer]],
        candidates: int,
    ) -> BackendServer | None:
        """Return the best of a few servers whose load is known.

        Two that are asked come close to asking all while most are idle; more
        are asked when none of them lives, or the best has prompts to read.

        Args:
            rank: ranks by what is known when it is called.
            candidates: how many of the first are asked at a time.
        """
        asked: set[str] = set()
        for _ in range(MOST_ROUNDS):
            first = [one for one in rank() if one.name not in asked]
            first = first[:candidates]
            asked.update(server.name for server in first)
            stale = [server for server in first if self._stale(server)]
            await asyncio.gather(*(self.ask(server) for server in stale))
            known = self._known(rank(), asked)
            if not first or (known and self._is_idle(known[0])):
                break
        return next(iter(known or rank()), None)

    def _known(
        self,
        ranked: list[BackendServer],
        names: set[str],
    ) -> list[BackendServer]:
        return [
            server
            for server in ranked
            if server.name in names and not self._stale(server)
        ]

    def _is_idle(self, server: BackendServer) -> bool:
        return not self.loads.prompts(server.name, self.timers.now())

    async def ask(self, server: BackendServer) -> EngineReport | None:
        """Ask one server; return its report, None if it does not live."""
        request = HttpRequest(
            'GET',
            f'http://{server.address}{PROBE_PATH}',
            timeout_s=REPORT_TIMEOUT_S,
            connect_timeout_s=REPORT_TIMEOUT_S,
        )
        try:
            response = await self.transport.fetch(request)
            report = decode_report(response.body)
        except (TransportError, ProtocolError) as error:
            logger.info(
                'no report',
                extra={'backend_server': server.name, 'reason': error.message},
            )
            self.health.unreachable(server, self.timers.now())
            return None
        now_s = self.timers.now()
        if report.born_ms and report.born_ms != server.born_ms:
            self.health.replaced(server, now_s)
            return None
        self.loads.report(server.name, report, now_s)
        return report

    def _stale(self, server: BackendServer) -> bool:
        age_s = self.timers.now() - self.loads.report_at_s(server.name)
        return age_s > REPORT_FRESH_S
