"""Streams of model engines, which go on elsewhere when an engine fails."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import replace
from typing import Any

from celerywharf.backends import BackendServer, Demand
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
from celerywharf.forwarding._sends import note_outcome, outgoing
from celerywharf.forwarding._silence import Sight, SilenceWatch
from celerywharf.forwarding._stories import Story
from celerywharf.platform import Resumption
from celerywharf.routing import ResumableStream

MILLISECONDS = 1000
CANDIDATES = 2  # engines asked for their load before a stream is placed
BACKUP_CANDIDATES = 1  # the same for the place of its copy
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
        self.watch: SilenceWatch | None = None

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

    def details(self) -> dict[str, Any]:
        """Return what the log says of a stream that has ended."""
        progress = self.progress
        if progress.first_s is None:
            return {'events': 0}
        first_s = progress.first_s - self.request.arrived_s
        return {
            'events': progress.events,
            'first_event_ms': round(first_s * MILLISECONDS),
            'longest_gap_ms': round(progress.longest_gap_s * MILLISECONDS),
        }

    async def _send(self) -> Step:
        now_s = self.services.timers.now()
        remaining_s = self.request.ends_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        server, resumption = await self._place()
        if server is None:
            return self.plan.unserved('no backend server')
        # Taken at once, so that other streams placed now see it.
        self._take(server)
        try:
            backup = await self._backup(server, resumption)
            outcome = await self._relay(server, resumption, remaining_s, backup)
        finally:
            self._release(server)
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

    async def _place(self) -> tuple[BackendServer | None, Resumption]:
        last_event = self.progress.last_event
        copy = self.copy_at
        self.copy_at = None
        if copy is not None and copy.name not in self.failed:
            return copy, Resumption(last_event, copy.address)
        server = await self.services.reports.best(self._ranked, CANDIDATES)
        return server, Resumption(last_event)

    def _ranked(self) -> list[BackendServer]:
        now_s = self.services.timers.now()
        return self.services.placement.ranked(self._open_demand(), now_s)

    async def _backup(
        self,
        server: BackendServer,
        resumption: Resumption,
    ) -> BackendServer | None:
        if not self._keeps_copies():
            return None
        if resumption.copy_at is not None:
            # The caller waits for the next event; reports take too long.
            return next(iter(self._backups(server)), None)
        return await self.services.reports.best(
            functools.partial(self._backups, server),
            BACKUP_CANDIDATES,
        )

    def _backups(self, server: BackendServer) -> list[BackendServer]:
        now_s = self.services.timers.now()
        return self.services.placement.backups(
            server,
            self._open_demand(),
            now_s,
        )

    def _keeps_copies(self) -> bool:
        configuration = self.services.knowledge.configuration
        service = configuration.services.get(self.service)
        if service is None or service.memory is None:
            return False
        return service.memory.backups and self.plan.repeatable

    def _open_demand(self) -> Demand:
        return replace(self.demand, excluded=self.failed)

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
        self.watch = SilenceWatch(self._gap_target_s(), services.timers.now())
        relay = StreamRelay(
            services,
            self.request,
            server,
            self.caller,
            self.progress,
            self.watch,
        )
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
        match outcome:
            case Refused(reached=True, replaced=False) if resumption.copy_at:
                pass  # it holds no copy, which says nothing about its health
            case _:
                note_outcome(services, server, outcome)
        return outcome

    def _take(self, server: BackendServer) -> None:
        now_s = self.services.timers.now()
        self.watch = None
        self.services.loads.started(server.name, self.demand.tokens, now_s)
        self.services.condition.started(server)

    def _release(self, server: BackendServer) -> None:
        tokens = self.demand.tokens
        if tokens and not (self.watch and self.watch.flowing):
            self.services.loads.prefilled(server.name)
        self.services.loads.ended(server.name, tokens)
        self.services.condition.ended(server)

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
            if sight is Sight.suspect and not await self.services.reports.ask(
                server
            ):
                sight = Sight.dead
            if relay.done.done():
                return relay.done.result()
            if sight is Sight.dead:
                return Lost('silence', broken=True)
            wait_s = min(relay.watch.limit_s(), max(ends_s - now_s, 0))

    def _gap_target_s(self) -> float:
        match self.request.route.policy:
            case ResumableStream(gap_target_s=gap_target_s):
                return gap_target_s
            case _:
                return NO_GAP_TARGET_S
