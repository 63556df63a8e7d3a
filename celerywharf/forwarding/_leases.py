"""Leases of room at engines, taken right before streams are sent.

The engine itself counts its slots and its token memory over all hosts, so that
hosts that know only late reports do not fill the same engine together.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    Transport,
)
from celerywharf.backends import (
    BackendServer,
    EngineReport,
    Loads,
    ServerHealth,
)
from celerywharf.exceptions import ProtocolError, TransportError
from celerywharf.forwarding._reports import Reports
from celerywharf.forwarding._statements import HeadRecorder
from celerywharf.limits import ServerLimiter
from celerywharf.metrics import Metrics
from celerywharf.platform import (
    LEASE_PATH,
    decode_lease,
    lease_demand,
    lease_release_path,
)
from celerywharf.structures import Verdict
from celerywharf.timers import TimerService
from celerywharf.units import SMALL_MESSAGE_BYTES

logger = logging.getLogger(__name__)

LEASE_TIMEOUT_S = 0.25  # a round trip between regions takes 40 ms
# A request that is sent at once arrives within this time, also over a new
# connection between regions.  A lost lease keeps its room for no longer.
LEASE_TERM_S = 0.5
# An engine that does not grant leases is asked again after this time.
UNOFFERED_S = 10.0


@dataclass(frozen=True, slots=True)
class Lease:
    """Room that an engine keeps for one request.

    Attributes:
        server: the engine.
        name: what the engine calls the lease.
        expires_at_s: when it surely ends, monotonic seconds.
    """

    server: BackendServer
    name: str
    expires_at_s: float


class Denial(enum.Enum):
    """Why an engine has granted no lease."""

    full = 'full'
    unreachable = 'unreachable'
    # The stream is sent without a lease.
    unoffered = 'unoffered'


class Leases:
    """Takes and releases leases of room at engines.

    Attributes:
        unoffered_until_s: when engines that grant no leases are asked again,
            monotonic seconds, by incarnation.
        releases: releases in progress.
        checks: engines that are asked for a report because they have not
            answered, by name.
    """

    def __init__(
        self,
        transport: Transport,
        timers: TimerService,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimiter,
        reports: Reports,
        metrics: Metrics,
    ) -> None:
        self.transport = transport
        self.timers = timers
        self.loads = loads
        self.health = health
        self.limits = limits
        self.reports = reports
        self.metrics = metrics
        self.unoffered_until_s: dict[str, float] = {}
        self.releases: set[asyncio.Task[None]] = set()
        self.checks: dict[str, asyncio.Task[EngineReport | None]] = {}

    async def take(
        self, server: BackendServer, tokens: int, max_term_s: float
    ) -> Lease | Denial:
        """Ask an engine for room.

        An engine that has stated a limit of requests is not asked, which would
        use one of them up.

        Args:
            server: the engine.
            tokens: token memory that the request needs at most.
            max_term_s: longest term that the engine grants, seconds.
        """
        now_s = self.timers.now()
        if self.limits.is_limited(server.incarnation):
            return Denial.unoffered
        if now_s < self.unoffered_until_s.get(server.incarnation, 0):
            return Denial.unoffered
        term_s = min(LEASE_TERM_S, max_term_s)
        try:
            response = await self.transport.fetch(
                self._request(server, tokens, term_s)
            )
        except TransportError as error:
            answer: Lease | Denial = self._unanswered(server, error, now_s)
        else:
            answer = self._read(server, response, now_s + term_s)
        outcome = answer.value if isinstance(answer, Denial) else 'granted'
        self.metrics.count('leases', outcome=outcome)
        return answer

    def use(self, lease: Lease) -> bool:
        """Return whether a lease can still be used, right before the send."""
        if self.timers.now() < lease.expires_at_s:
            return True
        self.metrics.count('leases', outcome='expired')
        return False

    def drop(self, lease: Lease) -> None:
        """Release a lease that is not used, unless it has ended."""
        self.metrics.count('leases', outcome='dropped')
        if self.timers.now() >= lease.expires_at_s:
            return
        task = asyncio.ensure_future(self._release(lease))
        self.releases.add(task)
        task.add_done_callback(self.releases.discard)

    async def _release(self, lease: Lease) -> None:
        path = lease_release_path(lease.name)
        request = HttpRequest(
            'DELETE',
            f'http://{lease.server.address}{path}',
            timeout_s=LEASE_TIMEOUT_S,
            connect_timeout_s=LEASE_TIMEOUT_S,
            max_body_bytes=SMALL_MESSAGE_BYTES,
        )
        try:
            await self.transport.fetch(request)
        except TransportError as error:
            logger.info(
                'lease not released',
                extra={
                    'backend_server': lease.server.name,
                    'reason': error.message,
                },
            )

    def _request(
        self, server: BackendServer, tokens: int, term_s: float
    ) -> HttpRequest:
        return HttpRequest.with_json(
            'POST',
            f'http://{server.address}{LEASE_PATH}',
            lease_demand(tokens, term_s),
            timeout_s=LEASE_TIMEOUT_S,
            connect_timeout_s=LEASE_TIMEOUT_S,
            max_body_bytes=SMALL_MESSAGE_BYTES,
            on_headers=HeadRecorder(
                self.health, self.limits, server
            ).on_headers,
        )

    def _unanswered(
        self, server: BackendServer, error: TransportError, asked_s: float
    ) -> Denial:
        logger.info(
            'no lease',
            extra={'backend_server': server.name, 'reason': error.message},
        )
        if error.late:
            return Denial.unreachable
        if error.verdict is Verdict.not_run:
            self.health.unreachable(server, self.timers.now())
        elif self.loads.alive_at_s(server.name) <= asked_s:
            self._check(server)
        return Denial.unreachable

    def _check(self, server: BackendServer) -> None:
        """Ask an engine for a report, which tells whether it is silent.

        The loss of a single answer does not make an engine silent: no other
        request would be sent there, and its zone would be suspect.
        """
        if server.name in self.checks:
            return
        task = asyncio.ensure_future(self.reports.probe(server))
        self.checks[server.name] = task
        task.add_done_callback(lambda _: self.checks.pop(server.name, None))

    def _read(
        self, server: BackendServer, response: HttpResponse, expires_at_s: float
    ) -> Lease | Denial:
        now_s = self.timers.now()
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.loads.mark_alive(server.name, now_s)
            return Denial.full
        try:
            name = decode_lease(response.body)
        except ProtocolError:
            name = ''
        if response.status == HTTPStatus.OK and name:
            self.loads.mark_alive(server.name, now_s)
            return Lease(server, name, expires_at_s)
        self._forget_past(now_s)
        self.unoffered_until_s[server.incarnation] = now_s + UNOFFERED_S
        logger.info(
            'no leases offered',
            extra={'backend_server': server.name, 'status': response.status},
        )
        return Denial.unoffered

    def _forget_past(self, now_s: float) -> None:
        self.unoffered_until_s = {
            incarnation: until_s
            for incarnation, until_s in self.unoffered_until_s.items()
            if until_s > now_s
        }
