"""Streams of model engines, which go on elsewhere when an engine fails."""

from __future__ import annotations

import asyncio
from typing import Any

from celerywharf.backends import BackendServer
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Answered, Lost, Outcome, Refused
from celerywharf.forwarding._placing import StreamPlacing
from celerywharf.forwarding._plans import Step
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._repeating import Forwarding
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import note_outcome, outgoing
from celerywharf.forwarding._silence import Sight, SilenceWatch, judge_report
from celerywharf.forwarding._stories import Story
from celerywharf.platform import Resumption
from celerywharf.routing import ResumableStream

MILLISECONDS = 1000
LEAST_WAIT_S = 0.005  # keeps a late timer from turning into a busy loop
NO_GAP_TARGET_S = 2.0  # pause allowed on streams that cannot be resumed


class StreamForwarding(Forwarding):
    """Sends one stream until its end or until it is given up."""

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        story: Story,
        caller: Caller,
    ) -> None:
        super().__init__(context, request, service, story)
        self.caller = caller
        self.progress = Progress(request.headers.last_event)
        self.placing = StreamPlacing(context, request, service, self.progress)
        self.watch: SilenceWatch | None = None

    def under_way(self) -> bool:
        """Tell whether the caller has events of this answer."""
        return self.caller.started

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

    async def send(self) -> Step:
        """Send the stream to an engine from the last event written."""
        now_s = self.context.timers.now()
        remaining_s = self.request.ends_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        server, resumption = await self.placing.place()
        if server is None:
            return self.plan.given_up('no backend server')
        # Taken at once, so that other streams placed now see it.
        self.watch = None
        self.placing.take(server)
        try:
            backup = await self.placing.backup(server, resumption)
            outcome = await self._relay(server, resumption, remaining_s, backup)
        finally:
            flowing = self.watch is not None and self.watch.flowing
            self.placing.release(server, prefilled=flowing)
        self.placing.note(server, outcome, resumption, backup)
        remaining_s = self.request.ends_s() - self.context.timers.now()
        step = self._step(outcome, remaining_s)
        self.story.sent(
            server,
            outcome,
            step,
            last_event=self.progress.last_event,
            resumed_from_copy=resumption.copy_at is not None,
            server_zone=server.availability_zone,
        )
        return step

    def _step(self, outcome: Outcome, remaining_s: float) -> Step:
        if isinstance(outcome, Answered) and self.caller.started:
            status = outcome.response.status
            outcome = Lost(f'answered {status} in the middle of a stream')
        return self.plan.after(outcome, remaining_s)

    async def _relay(
        self,
        server: BackendServer,
        resumption: Resumption,
        remaining_s: float,
        backup: BackendServer | None,
    ) -> Outcome:
        context = self.context
        self.watch = SilenceWatch(self._gap_target_s(), context.timers.now())
        relay = StreamRelay(
            context,
            self.request,
            server,
            self.caller,
            self.progress,
            self.watch,
        )
        transfer = context.transport.stream(
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
                note_outcome(context, server, outcome)
        return outcome

    async def _watch(
        self, relay: StreamRelay, server: BackendServer
    ) -> Outcome:
        ends_s = self.request.ends_s()
        while True:
            now_s = self.context.timers.now()
            due_s = ends_s
            if self.plan.has_alternative:
                due_s = relay.watch.due_s(self._alive_at_s(server))
            wait_s = max(min(due_s, ends_s) - now_s, LEAST_WAIT_S)
            await asyncio.wait({relay.done}, timeout=wait_s)
            if not relay.done.done():
                await self._look(relay, server)
            if relay.done.done():
                return relay.done.result()

    async def _look(self, relay: StreamRelay, server: BackendServer) -> None:
        """Give a silent send up if its time is over or its server is dead.

        Without another server to go to, silence is no reason to end it.
        """
        now_s = self.context.timers.now()
        if now_s >= self.request.ends_s():
            relay.settle(Lost('time is over'))
            return
        if not self.plan.has_alternative:
            return
        sight = relay.watch.judge(now_s, self._alive_at_s(server))
        if sight is Sight.suspect:
            report = await self.context.reports.ask(server)
            request_id = self.request.headers.request_id
            sight = judge_report(report, request_id) if report else Sight.dead
        if sight is Sight.dead:
            relay.settle(Lost('silence', broken=True))

    def _alive_at_s(self, server: BackendServer) -> float:
        return self.context.loads.alive_at_s(server.name)

    def _gap_target_s(self) -> float:
        match self.request.route.policy:
            case ResumableStream(gap_target_s=gap_target_s):
                return gap_target_s
            case _:
                return NO_GAP_TARGET_S
