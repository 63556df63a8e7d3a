"""Forwarding of streams, which are resumed elsewhere if an engine fails."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from celerywharf.backends import BackendServer
from celerywharf.forwarding._base import Forwarding
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import (
    Answered,
    Lost,
    Outcome,
    PeerAnswered,
    Recalled,
    Refused,
)
from celerywharf.forwarding._peer_sends import (
    PEER_SILENCE_S,
    PeerStreamRelay,
    build_peer_request,
    is_serving,
)
from celerywharf.forwarding._plans import Step
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import build_request, record_outcome
from celerywharf.forwarding._silence import (
    Liveness,
    SilenceDetector,
    assess_report,
)
from celerywharf.forwarding._stream_placer import StreamPlacer
from celerywharf.peers import PeerHost, Relay
from celerywharf.platform import Resumption
from celerywharf.routing import ResumableStream
from celerywharf.structures import Address

MILLISECONDS = 1000
MIN_WAIT_S = 0.005  # prevents a busy loop when a timer fires late
# A wait that ends this much late shows that this host did not run for a while.
LATE_S = 0.1
UNKNOWN_VERSION = 'no host knows which software version began the stream'
DEFAULT_GAP_TARGET_S = 2.0  # for streams that cannot be resumed


class StreamForwarding(Forwarding):
    """Sends a stream until it ends or must not be retried.

    Attributes:
        caller: receives the events.
        progress: what the caller has received so far.
        placer: chooses engines for the sends.
        relay: receives the answer to the current send; None before its start.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        request_log: RequestLog,
        caller: Caller,
    ) -> None:
        super().__init__(context, request, service, request_log)
        self.caller = caller
        self.progress = Progress(request.headers.last_event)
        self.placer = StreamPlacer(context, request, service, self.progress)
        self.relay: StreamRelay | None = None
        if request.relay is not None:
            self._continue_for(request.relay)

    def _continue_for(self, relay: Relay) -> None:
        """Go on with a stream that another host has begun."""
        if relay.software_version:
            self.progress.software_version = relay.software_version
        if relay.copy_at:
            self.placer.find_copy(Address.parse(relay.copy_at))

    def in_progress(self) -> bool:
        """Return whether the caller has received a part of the stream."""
        return self.caller.started

    def suspects(self) -> Sequence[str]:
        """Return the traits that may have crashed the server of a send."""
        if self.relay is not None and self.relay.proven:
            return self.request.headers.shared_parts
        return self.traits

    def details(self) -> dict[str, Any]:
        """Return the log fields that describe the finished stream."""
        progress = self.progress
        if progress.first_at_s is None:
            return {'events': 0}
        first_event_s = progress.first_at_s - self.request.arrived_s
        return {
            'events': progress.events,
            'first_event_ms': round(first_event_s * MILLISECONDS),
            'longest_gap_ms': round(progress.longest_gap_s * MILLISECONDS),
        }

    async def send(self) -> Step:
        """Send the stream to an engine, resuming after the last event."""
        now_s = self.context.timers.now()
        remaining_s = self.request.deadline_at_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        if self.progress.last_event and self.progress.software_version is None:
            await self._find_software_version()
            if self.progress.software_version is None:
                return self.plan.give_up(UNKNOWN_VERSION)
        server, resumption, backup = await self._place()
        if server is None:
            return self.give_up_for_now()
        try:
            outcome = await self._relay(server, resumption, remaining_s, backup)
        finally:
            prefilled = self.relay is not None and self.relay.events > 0
            self.placer.release(server, prefilled=prefilled)
        self.record_end(server, outcome)
        self.placer.send_ended(server, outcome, resumption, backup)
        remaining_s = self.request.deadline_at_s() - self.context.timers.now()
        step = self._next_step(outcome, remaining_s)
        self.request_log.log_send(
            server,
            outcome,
            step,
            last_event=self.progress.last_event,
            begun=self.relay.begun_at_s is not None,
            events_of_send=self.relay.events,
            resumed_from_copy=resumption.copy_at is not None,
            server_zone=server.availability_zone,
        )
        return step

    async def _place(
        self,
    ) -> tuple[BackendServer | None, Resumption, BackendServer | None]:
        """Choose an engine and one for the backup copy of the run.

        Returns:
            The engine, to which the stream's load is added, None if there is
            none; the position from which it must resume the stream; where the
            copy is kept, None if nowhere.
        """
        self.relay = None
        while True:
            server, resumption = await self.placer.place(self.is_eligible)
            if server is None:
                return None, resumption, None
            # Streams placed while the other engine is chosen take this one
            # into account.
            self.placer.reserve(server)
            is_chosen = False
            try:
                backup = await self.placer.backup(server, resumption)
                is_chosen = self.may_send(server)
            finally:
                if not is_chosen:
                    self.placer.release(server, prefilled=False)
            if is_chosen:
                return server, resumption, backup

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
            SilenceDetector(self._gap_target_s(), context.timers.now()),
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
            outcome = await self._await_peer(self.relay, peer)
        finally:
            context.peers.ended(peer)
            transfer.cancel()
        if isinstance(outcome, PeerAnswered) and self.caller.started:
            status = outcome.response.status
            return Lost(f'answered {status} in the middle of a stream')
        return outcome

    async def _await_peer(
        self, relay: PeerStreamRelay, peer: PeerHost
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
            ):
                relay.settle(Lost('host stopped responding'))
            if relay.done.done():
                return relay.done.result()

    async def _find_software_version(self) -> None:
        """Find which software version began a stream that is taken up."""
        possible = await self.context.origins.possible_versions(
            self.request.headers.resumed_request, self.service
        )
        if len(possible) == 1:
            self.progress.software_version = next(iter(possible))

    def _next_step(self, outcome: Outcome, remaining_s: float) -> Step:
        if isinstance(outcome, Answered) and self.caller.started:
            status = outcome.response.status
            outcome = Lost(f'answered {status} in the middle of a stream')
        return self.plan.next_step(outcome, remaining_s)

    async def _relay(
        self,
        server: BackendServer,
        resumption: Resumption,
        remaining_s: float,
        backup: BackendServer | None,
    ) -> Outcome:
        context = self.context
        relay = StreamRelay(
            context,
            self.request,
            server,
            self.caller,
            self.progress,
            SilenceDetector(self._gap_target_s(), context.timers.now()),
        )
        self.relay = relay
        transfer = context.transport.stream(
            build_request(
                self.request,
                server,
                remaining_s,
                backup and backup.address,
                resumption,
            ),
            relay,
        )
        relay.transfer = transfer
        try:
            with self.sending(server, functools.partial(_recall, relay)):
                outcome = await self._await_outcome(relay, server)
        finally:
            transfer.cancel()
        match outcome:
            case Refused(reached=True, replaced=False) if resumption.copy_at:
                pass  # it holds no copy of the run, which is not a failure
            case _:
                record_outcome(context, server, outcome)
        return outcome

    async def _await_outcome(
        self, relay: StreamRelay, server: BackendServer
    ) -> Outcome:
        deadline_at_s = self.request.deadline_at_s()
        while True:
            now_s = self.context.timers.now()
            expires_at_s = deadline_at_s
            if self.plan.has_alternative:
                expires_at_s = relay.detector.expires_at_s(
                    self._alive_at_s(server)
                )
            wait_s = max(min(expires_at_s, deadline_at_s) - now_s, MIN_WAIT_S)
            await asyncio.wait({relay.done}, timeout=wait_s)
            if self.context.timers.now() > now_s + wait_s + LATE_S:
                relay.detector.excuse(self.context.timers.now())
            if not relay.done.done():
                await self._check_liveness(relay, server)
            if relay.done.done():
                return relay.done.result()

    async def _check_liveness(
        self, relay: StreamRelay, server: BackendServer
    ) -> None:
        """End a silent send if its deadline has passed or its server is dead.

        If the request may not be sent again, only the deadline ends the send.
        """
        now_s = self.context.timers.now()
        if now_s >= self.request.deadline_at_s():
            relay.settle(Lost('deadline exceeded'))
            return
        if not self.plan.has_alternative:
            return
        liveness = relay.detector.assess(now_s, self._alive_at_s(server))
        if liveness is Liveness.suspect and not await self.is_within_limit(
            server
        ):
            relay.detector.record_report(self.context.timers.now())
            return
        if liveness is Liveness.suspect:
            report = await self.context.reports.probe(server)
            request_id = self.request.headers.request_id
            liveness = (
                assess_report(report, request_id) if report else Liveness.dead
            )
            relay.detector.record_report(self.context.timers.now())
        if liveness is Liveness.dead:
            relay.settle(Lost('silence', broken=True))

    def _alive_at_s(self, server: BackendServer) -> float:
        return self.context.loads.alive_at_s(server.name)

    def _gap_target_s(self) -> float:
        match self.request.route.policy:
            case ResumableStream(gap_target_s=gap_target_s):
                return gap_target_s
            case _:
                return DEFAULT_GAP_TARGET_S


def _recall(relay: StreamRelay) -> None:
    """Take a stream back whose answer has not begun."""
    if relay.begun_at_s is None:
        relay.settle(Recalled('quarantined meanwhile'))
