"""Asks engines for their load when a stream has to be placed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from celerywharf.adapters.transports import HttpRequest, Transport
from celerywharf.backends import BackendServer, Condition, EngineReport, Loads
from celerywharf.exceptions import ProtocolError, TransportError
from celerywharf.platform import PROBE_PATH, decode_report
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.25  # a round trip between regions takes 40 ms
# Engines report their load of some 100 ms ago; asking more often tells no more.
REPORT_FRESH_S = 0.2
MOST_ROUNDS = 3  # when those asked do not answer, the next ones are


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
        condition: Condition,
    ) -> None:
        self.transport = transport
        self.timers = timers
        self.loads = loads
        self.condition = condition

    async def best(
        self,
        rank: Callable[[], list[BackendServer]],
        candidates: int,
    ) -> BackendServer | None:
        """Return the best of a few servers whose load is known.

        Two that are asked come close to asking all, at a fixed number of
        probes; more are asked only when none of them lives.

        Args:
            rank: ranks by what is known when it is called.
            candidates: how many of the first are asked at a time.
        """
        silent: set[str] = set()
        for _ in range(MOST_ROUNDS):
            first = [one for one in rank() if one.name not in silent]
            first = first[:candidates]
            stale = [server for server in first if self._stale(server)]
            await asyncio.gather(*(self.ask(server) for server in stale))
            names = {one.name for one in first if not self._stale(one)}
            known = [server for server in rank() if server.name in names]
            if known:
                return known[0]
            silent.update(server.name for server in first)
        return next(iter(rank()), None)

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
            self.condition.unreachable(server, self.timers.now())
            return None
        now_s = self.timers.now()
        if report.born_ms and report.born_ms != server.born_ms:
            self.condition.replaced(server, now_s)
            return None
        self.loads.report(server.name, report, now_s)
        return report

    def _stale(self, server: BackendServer) -> bool:
        age_s = self.timers.now() - self.loads.report_at_s(server.name)
        return age_s > REPORT_FRESH_S
