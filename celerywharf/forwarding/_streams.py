"""Streams of model engines, which go on elsewhere when an engine fails."""

from __future__ import annotations

import asyncio
import logging

from celerywharf.adapters.transports import HttpRequest
from celerywharf.backends import BackendServer, Demand
from celerywharf.exceptions import ProtocolError, TransportError
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import Services
from celerywharf.forwarding._outcomes import Answered, Lost, Outcome, Refused
from celerywharf.forwarding._plans import (
    Done,
    Fail,
    PassOn,
    RetryPlan,
    SendAgain,
    Step,
)
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import note_failure, outgoing
from celerywharf.forwarding._silence import Sight, SilenceWatch
from celerywharf.forwarding._stories import Story
from celerywharf.platform import PROBE_PATH, Resumption, decode_report
from celerywharf.routing import ResumableStream

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.3  # a round trip between regions takes 40 ms
NO_GAP_TARGET_S = 2.0  # pause allowed on streams that cannot be resumed


class StreamForwarding:
    """Sends one stream until its end or until it is given up."""

    def __init__(
        self,
        services: Services,
        request: IncomingRequest,
        service: str,
        story: Story,
        caller: Caller,
    ) -> None:
        self.services = services
        self.request = request
        self.service = service
        self.story = story
        self.caller = caller
        self.plan = RetryPlan(request.route.policy, request.route.max_attempts)
        self.progress = Progress(request.headers.last_event)
        self.demand = self._demand()
        self.failed: set[str] = set()
        self.copy_at: BackendServer | None = None

    async def run(self) -> PassOn | Fail | Done:
        """Return what the caller is told, unless it already has it all."""
        self.services.budget.requested(self.service, self.services.timers.now())
        while True:
            step = await self._send()
            if not isinstance(step, SendAgain):
                return step
            if not self._may_repeat():
                return self.plan.unserved('retry budget is used up')

    def _may_repeat(self) -> bool:
        if not self.plan.arrivals:
            return True
        now_s = self.services.timers.now()
        return self.services.budget.take(self.service, now_s)

    async def _send(self) -> Step:
        now_s = self.services.timers.now()
        remaining_s = self.request.ends_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        server, resumption = self._place(now_s)
        if server is None:
            return self.plan.unserved('no backend server')
        backup = self._backup(server, now_s)
        outcome = await self._relay(server, resumption, remaining_s, backup)
        self._note(server, outcome, resumption, backup)
        remaining_s = self.request.ends_s() - self.services.timers.now()
        step = self._step(outcome, remaining_s)
        self.story.sent(
            server,
            outcome,
            step,
            last_event=self.progress.last_event,
            resumed_from_copy=resumption.copy_at is not None,
            availability_zone=server.availability_zone,
        )
        return step

    def _note(
        self,
        server: BackendServer,
        outcome: Outcome,
        resumption: Resumption,
        backup: BackendServer | None,
    ) -> None:
        """Remember who failed and where a copy of the run may be."""
        if isinstance(outcome, Lost):
            self.failed.add(server.name)
            # Engines copy a run from its first event on.
            self.copy_at = backup if self.progress.events else None
        elif resumption.copy_at is None:
            self.failed.add(server.name)

    def _step(self, outcome: Outcome, remaining_s: float) -> Step:
        if isinstance(outcome, Answered) and self.caller.started:
            status = outcome.response.status
            outcome = Lost(f'answered {status} in the middle of a stream')
        step = self.plan.after(outcome, remaining_s)
        if remaining_s <= 0 and isinstance(step, Fail):
            return self.plan.timed_out()
        return step

    def _place(
        self,
        now_s: float,
    ) -> tuple[BackendServer | None, Resumption]:
        last_event = self.progress.last_event
        copy = self.copy_at
        self.copy_at = None
        if copy is not None and copy.name not in self.failed:
            return copy, Resumption(last_event, copy.address)
        server = self.services.placement.choose(
            Demand(
                self.service,
                self.demand.tokens,
                self.demand.capacity_tokens,
                self.failed,
            ),
            now_s,
        )
        return server, Resumption(last_event)

    def _backup(
        self,
        server: BackendServer,
        now_s: float,
    ) -> BackendServer | None:
        configuration = self.services.knowledge.configuration
        service = configuration.services.get(self.service)
        if service is None or service.memory is None:
            return None
        if not service.memory.backups or not self.plan.repeatable:
            return None
        demand = Demand(
            self.service,
            self.demand.tokens,
            self.demand.capacity_tokens,
            self.failed,
        )
        return self.services.placement.backup(server, demand, now_s)

    def _demand(self) -> Demand:
        configuration = self.services.knowledge.configuration
        service = configuration.services.get(self.service)
        headers = self.request.headers
        capacity = 0
        if service is not None and service.memory is not None:
            capacity = service.memory.capacity_tokens
        return Demand(
            self.service,
            headers.prompt_tokens + headers.output_tokens,
            capacity,
        )

    async def _relay(
        self,
        server: BackendServer,
        resumption: Resumption,
        remaining_s: float,
        backup: BackendServer | None,
    ) -> Outcome:
        services = self.services
        watch = SilenceWatch(self._gap_target_s(), services.timers.now())
        relay = StreamRelay(
            services,
            self.request,
            server,
            self.caller,
            self.progress,
            watch,
        )
        tokens = self.demand.tokens
        services.loads.started(server.name, tokens)
        services.outliers.started(server.name)
        transfer = services.transport.stream(
            outgoing(
                self.request,
                server,
                remaining_s,
                backup and backup.address,
                resumption,
            ),
            relay,
        )
        try:
            outcome = await self._watch(relay, server)
        finally:
            transfer.cancel()
            self._release(server, watch)
        self._score(server, outcome)
        return outcome

    def _release(self, server: BackendServer, watch: SilenceWatch) -> None:
        tokens = self.demand.tokens
        if tokens and not watch.flowing:
            self.services.loads.prefilled(server.name)
        self.services.loads.ended(server.name, tokens)
        self.services.outliers.ended(server.name)

    async def _watch(
        self, relay: StreamRelay, server: BackendServer
    ) -> Outcome:
        ends_s = self.request.ends_s()
        wait_s = relay.watch.limit_s()
        while True:
            await asyncio.wait({relay.done}, timeout=wait_s)
            if relay.done.done():
                return relay.done.result()
            now_s = self.services.timers.now()
            if now_s >= ends_s:
                return Lost('time is over')
            alive_at_s = self.services.loads.alive_at_s(server.name)
            sight = relay.watch.judge(now_s, alive_at_s)
            if sight is Sight.suspect and not await self._probe(server):
                sight = Sight.dead
            if relay.done.done():
                return relay.done.result()
            if sight is Sight.dead:
                self.services.outliers.unreachable(server.name, now_s)
                return Lost('silence')
            wait_s = min(relay.watch.limit_s(), max(ends_s - now_s, 0))

    async def _probe(self, server: BackendServer) -> bool:
        try:
            response = await self.services.transport.fetch(
                HttpRequest(
                    'GET',
                    f'http://{server.address}{PROBE_PATH}',
                    timeout_s=PROBE_TIMEOUT_S,
                    connect_timeout_s=PROBE_TIMEOUT_S,
                    fresh=True,
                ),
            )
            report = decode_report(response.body)
        except (TransportError, ProtocolError) as error:
            logger.info(
                'probe failed',
                extra={
                    'request_id': self.request.headers.request_id,
                    'backend_server': server.name,
                    'reason': error.message,
                },
            )
            return False
        logger.debug('probe', extra={'report': response.body.decode()})
        self.services.loads.alive(server.name, self.services.timers.now())
        return bool(report.running or report.waiting)

    def _score(self, server: BackendServer, outcome: Outcome) -> None:
        match outcome:
            case Lost() | Refused():
                note_failure(self.services, server, outcome)
            case _:
                self.services.outliers.succeeded(server.name)

    def _gap_target_s(self) -> float:
        match self.request.route.policy:
            case ResumableStream(gap_target_s=gap_target_s):
                return gap_target_s
            case _:
                return NO_GAP_TARGET_S
