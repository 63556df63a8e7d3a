"""Forwarding of streams, which are resumed elsewhere if an engine fails."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._handover import Handover
from celerywharf.forwarding._inquiries import Inquiry
from celerywharf.forwarding._outcomes import (
    Lost,
    Outcome,
    PeerAnswered,
    Refused,
)
from celerywharf.forwarding._peer_sends import (
    PEER_SILENCE_S,
    PeerStreamRelay,
    build_peer_request,
    is_serving,
)
from celerywharf.forwarding._plans import Done, Fail, PassOn, SendAgain, Step
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._silence import (
    OWN_FIRST_EVENT_SILENCE_S,
    Liveness,
    SilenceDetector,
    assess_report,
)
from celerywharf.forwarding._stream_sender import StreamSender
from celerywharf.forwarding._stream_sends import StreamSend
from celerywharf.forwarding._turns import StreamTurns
from celerywharf.peers import PeerHost, Relay
from celerywharf.structures import Address
from celerywharf.waiting import Refused as WaitRefused

MIN_WAIT_S = 0.005  # prevents a busy loop when a timer fires late
# A wait that ends this much late shows that this host did not run for a while.
LATE_S = 0.1
UNKNOWN_VERSION = 'no host knows which software version began the stream'


class StreamForwarding(StreamSender):
    """Sends a stream until it ends or must not be retried.

    Attributes:
        handover: replaces silent sends.
        inquiry: asks engines about silent streams.
        successor: the send that has taken over from a silent one; None unless
            there is one.
        turns: lets it wait while no engine has room.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        request_log: RequestLog,
        caller: Caller,
    ) -> None:
        super().__init__(context, request, service, request_log, caller)
        self.handover = Handover(self)
        self.inquiry = Inquiry(context, request)
        self.successor: StreamSend | None = None
        self.turns = StreamTurns(self)
        if request.relay is not None:
            self._continue_for(request.relay)

    def _continue_for(self, relay: Relay) -> None:
        """Go on with a stream that another host has begun."""
        if relay.software_version:
            self.progress.software_version = relay.software_version
        if relay.copy_at:
            self.placer.find_copy(Address.parse(relay.copy_at))

    def has_successor(self) -> bool:
        """Return whether the next send is in progress already."""
        return self.successor is not None

    def is_at_work(self) -> bool:
        """Return whether the next send has brought events already."""
        return self.successor is not None and self.successor.relay.events > 0

    async def run(self) -> PassOn | Fail | Done:
        """Send and retry the stream; return the final step."""
        try:
            return await super().run()
        finally:
            if self.successor is not None:
                self.abandon(self.successor)

    async def send(self) -> Step:
        """Send the stream to an engine, resuming after the last event.

        A send that has already taken over from a silent one goes on.
        """
        current = self.successor
        self.successor = None
        if current is None:
            if self.remaining_s() <= 0:
                return self.plan.timed_out()
            if not await self._knows_software_version():
                return self.plan.give_up(UNKNOWN_VERSION)
            placement = await self.turns.place()
            match placement:
                case None:
                    return self.give_up_for_now()
                case WaitRefused():
                    return self.turns.refuse(placement)
            current = self.start(placement)
            self.turns.sent(current)
        outcome = None
        try:
            outcome = await self._await_outcome(current)
        finally:
            if outcome is None:
                self.abandon(current)
        step = self.conclude(current, outcome)
        self.turns.ended(current, outcome)
        if self.successor is not None and isinstance(outcome, Refused):
            return SendAgain()
        return step

    def attempts_for_peer(self) -> int:
        """Keep sends for the case that the other host is lost."""
        return (self.plan.attempts_left + 1) // 2

    async def send_to_peer(
        self, peer: PeerHost, relay: Relay, remaining_s: float
    ) -> Outcome:
        """Pass the stream to another host, resuming after the last event."""
        context = self.context
        progress = self.progress
        copy_holder = self.placer.copy_holder
        self.placer.copy_holder = None
        relay = replace(
            relay,
            software_version=progress.software_version or '',
            copy_at=str(copy_holder.address) if copy_holder else '',
        )
        self.relay = PeerStreamRelay(
            context,
            self.request,
            peer,
            self.caller,
            progress,
            SilenceDetector(self.gap_target_s(), context.timers.now()),
        )
        transfer = context.transport.stream(
            build_peer_request(
                self.request, peer, relay, remaining_s, progress.last_event
            ),
            self.relay,
        )
        self.relay.transfer = transfer
        context.peers.started(peer)
        try:
            outcome = await self._await_peer(self.relay, peer, relay.attempts)
        finally:
            context.peers.ended(peer)
            transfer.cancel()
        if isinstance(outcome, PeerAnswered) and self.caller.started:
            status = outcome.response.status
            return Lost(f'answered {status} in the middle of a stream')
        return outcome

    async def _await_peer(
        self, relay: PeerStreamRelay, peer: PeerHost, attempts: int
    ) -> Outcome:
        request_id = self.request.headers.request_id
        while True:
            now_s = self.context.timers.now()
            left_s = self.request.deadline_at_s() - now_s
            wait_s = max(min(PEER_SILENCE_S, left_s), MIN_WAIT_S)
            await asyncio.wait({relay.done}, timeout=wait_s)
            silent_s = self.context.timers.now() - relay.detector.last_s
            if self.context.timers.now() >= self.request.deadline_at_s():
                relay.settle(Lost('deadline exceeded'))
            elif (
                silent_s > PEER_SILENCE_S
                and not relay.detector.held
                and not await is_serving(self.context, peer, request_id)
                and await self._may_leave_peer(relay, attempts)
            ):
                relay.settle(Lost('host stopped responding'))
            if relay.done.done():
                return relay.done.result()

    async def _may_leave_peer(
        self, relay: PeerStreamRelay, attempts: int
    ) -> bool:
        """Return whether a stream may go on without a host that is silent.

        Its retry is taken then.

        Args:
            relay: receives the stream from the host.
            attempts: how many sends the host was allowed to make.
        """
        if self.plan.attempts_left <= attempts or self.is_quarantined():
            return False
        is_cut_off = self.context.health.reachability.is_cut_off(self.service)
        if is_cut_off and await self._choose_peer() is None:
            return False
        if not relay.done.done():
            self.retry_taken = await self.take_retry()
        return self.retry_taken

    async def _knows_software_version(self) -> bool:
        """Return whether it is known which version may go on with the stream.

        Any version may begin one.
        """
        progress = self.progress
        if not progress.last_event or progress.software_version is not None:
            return True
        knowledge = await self.context.origins.look_up(
            self.request.headers.resumed_request, self.service
        )
        self.context.metrics.count(
            'resumed_streams',
            service=self.service,
            evidence=knowledge.evidence.value,
        )
        self.request_log.log_origin(knowledge)
        possible = knowledge.possible()
        if len(possible) == 1:
            progress.software_version = next(iter(possible))
        return len(possible) == 1

    async def _await_outcome(self, send: StreamSend) -> Outcome:
        relay = send.relay
        deadline_at_s = self.request.deadline_at_s()
        while True:
            now_s = self.context.timers.now()
            expires_at_s = deadline_at_s
            if self.plan.has_alternative:
                expires_at_s = relay.detector.expires_at_s(
                    self._alive_at_s(send)
                )
            wait_s = max(min(expires_at_s, deadline_at_s) - now_s, MIN_WAIT_S)
            await asyncio.wait({relay.done}, timeout=wait_s)
            if self.context.timers.now() > now_s + wait_s + LATE_S:
                relay.detector.excuse(self.context.timers.now())
            if not relay.done.done():
                await self._check_liveness(send)
            if relay.done.done():
                return relay.done.result()

    async def _check_liveness(self, send: StreamSend) -> None:
        """End a send whose deadline has passed; hand a silent one over.

        If the request may not be sent again, only the deadline ends the send.
        """
        relay = send.relay
        now_s = self.context.timers.now()
        if now_s >= self.request.deadline_at_s():
            relay.settle(Lost('deadline exceeded'))
            return
        if not self.plan.has_alternative:
            return
        liveness = relay.detector.assess(now_s, self._alive_at_s(send))
        if liveness is Liveness.suspect:
            liveness = await self._ask_server(send)
        elif liveness is Liveness.dead:
            liveness = await self.inquiry.assess(send)
        if liveness is Liveness.dead and not relay.done.done():
            self.successor = await self.handover.replace(send)

    async def _ask_server(self, send: StreamSend) -> Liveness:
        """Ask an engine that has sent no event whether it is at work.

        One that wants a pause may not be asked; it is taken for dead once it
        has answered nobody for longer than others are left unasked.
        """
        detector = send.relay.detector
        if not await self.eligibility.is_within_limit(send.server):
            now_s = self.context.timers.now()
            heard_s = max(detector.last_s, self._alive_at_s(send))
            if (
                now_s - heard_s > OWN_FIRST_EVENT_SILENCE_S
                and self.context.limits.is_paused(send.server.incarnation)
            ):
                return Liveness.dead
            detector.record_report(now_s)
            return Liveness.alive
        report = await self.context.reports.probe(send.server)
        detector.record_report(self.context.timers.now())
        if report is None:
            return Liveness.dead
        return assess_report(report, self.request.headers.request_id)

    def _alive_at_s(self, send: StreamSend) -> float:
        return self.context.loads.alive_at_s(send.server.name)
