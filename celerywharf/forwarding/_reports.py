"""Probes engines for their load when a stream is to be placed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from celerywharf.adapters.transports import HttpRequest, HttpResponse, Transport
from celerywharf.backends import (
    BackendServer,
    EngineReport,
    Loads,
    ServerHealth,
)
from celerywharf.exceptions import (
    CelerywharfError,
    ProtocolError,
    TransportError,
)
from celerywharf.forwarding._statements import HeadRecorder
from celerywharf.limits import ServerLimiter
from celerywharf.platform import (
    PROBE_PATH,
    decode_report,
    read_answer_headers,
)
from celerywharf.structures import Verdict
from celerywharf.timers import TimerService
from celerywharf.units import SMALL_MESSAGE_BYTES

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.25  # a round trip between regions takes 40 ms
# Engines report their load as of some 100 ms ago, so probing more often yields
# no newer information.
REPORT_MAX_AGE_S = 0.2
# An entry for each of an engine's runs takes about 50 bytes.
MAX_REPORT_BYTES = SMALL_MESSAGE_BYTES
MAX_PROBES = 2  # probes of one engine, if this host itself was late
MAX_ROUNDS = 4  # probing eight engines of a service suffices at any load


class Reports:
    """Fetches load reports of engines, reusing those that are still fresh.

    Reports are needed because no host knows what the other hosts send, and
    because the entry of a crashed engine remains in the store for seconds.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimiter,
    ) -> None:
        self.transport = transport
        self.timers = timers
        self.loads = loads
        self.health = health
        self.limits = limits

    async def best(
        self,
        rank: Callable[[], list[BackendServer]],
        candidates: int,
    ) -> BackendServer | None:
        """Return the best of a few servers with fresh load reports.

        While most engines are idle, probing two of them is nearly as good as
        probing all.  More are probed if none of these responds or the best one
        still has prompts to read.

        Args:
            rank: returns the servers, best first, by the load known when it is
                called.
            candidates: number of servers to probe in each round.

        Returns:
            The best server that has been probed; if none has responded, the
            best ranked one; None if there are no servers.
        """
        probed: set[str] = set()
        for _ in range(MAX_ROUNDS):
            batch = [server for server in rank() if server.name not in probed]
            batch = batch[:candidates]
            probed.update(server.name for server in batch)
            stale = [server for server in batch if self._is_stale(server)]
            await asyncio.gather(*(self.probe(server) for server in stale))
            fresh = self._with_fresh_report(rank(), probed)
            if not batch or (fresh and self._is_idle(fresh[0])):
                break
        return next(iter(fresh or rank()), None)

    def _with_fresh_report(
        self,
        ranked: list[BackendServer],
        names: set[str],
    ) -> list[BackendServer]:
        return [
            server
            for server in ranked
            if server.name in names and not self._is_stale(server)
        ]

    def _is_idle(self, server: BackendServer) -> bool:
        return not self.loads.prompts(server.name, self.timers.now())

    async def probe(self, server: BackendServer) -> EngineReport | None:
        """Fetch the report of an engine and record its load.

        None if the engine does not answer with a valid report or another one
        uses its address; either is recorded in its health.
        """
        try:
            response = await self._fetch_report(server)
            report = decode_report(response.body)
        except (TransportError, ProtocolError) as error:
            logger.info(
                'no report',
                extra={'backend_server': server.name, 'reason': error.message},
            )
            self._record_failure(server, error)
            return None
        now_s = self.timers.now()
        if report.born_ms and report.born_ms != server.born_ms:
            self.health.replaced(server, now_s)
            return None
        self.loads.report(server.name, report, now_s)
        stated = read_answer_headers(response.headers).load
        if stated is not None:
            self.loads.reported(server, stated, now_s)
        self.health.reached(server)
        return report

    def _record_failure(
        self, server: BackendServer, error: CelerywharfError
    ) -> None:
        now_s = self.timers.now()
        if error.verdict is Verdict.not_run:
            self.health.unreachable(server, now_s)
        else:
            self.health.silent(server, now_s)

    async def _fetch_report(self, server: BackendServer) -> HttpResponse:
        request = HttpRequest(
            'GET',
            f'http://{server.address}{PROBE_PATH}',
            timeout_s=REPORT_TIMEOUT_S,
            connect_timeout_s=REPORT_TIMEOUT_S,
            max_body_bytes=MAX_REPORT_BYTES,
            on_headers=HeadRecorder(
                self.health, self.limits, server
            ).on_headers,
        )
        for _ in range(MAX_PROBES - 1):
            try:
                return await self.transport.fetch(request)
            except TransportError as error:
                if not error.late:
                    raise
        return await self.transport.fetch(request)

    def _is_stale(self, server: BackendServer) -> bool:
        """Return whether a server should be probed.

        One that has stated a limit is not: the probe would take the place of a
        request.
        """
        if self.limits.is_limited(server.incarnation):
            return False
        age_s = self.timers.now() - self.loads.report_at_s(server.name)
        return age_s > REPORT_MAX_AGE_S
