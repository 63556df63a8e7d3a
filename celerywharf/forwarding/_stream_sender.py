"""Places, starts and concludes the sends of one stream."""

from __future__ import annotations

import functools
from collections.abc import Sequence
from typing import Any

from celerywharf.backends import BackendServer
from celerywharf.forwarding._admission import engine_admission
from celerywharf.forwarding._base import Forwarding
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._leases import Denial, Lease
from celerywharf.forwarding._outcomes import (
    Answered,
    Lost,
    Outcome,
    Recalled,
    Refused,
)
from celerywharf.forwarding._plans import Step
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import (
    build_request,
    record_outcome,
)
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.forwarding._stream_placer import StreamPlacer
from celerywharf.forwarding._stream_sends import StreamPlacement, StreamSend
from celerywharf.forwarding._version_counts import record_version
from celerywharf.platform import Resumption
from celerywharf.routing import ResumableStream

MILLISECONDS = 1000
DEFAULT_GAP_TARGET_S = 2.0  # for streams that cannot be resumed


class StreamSender(Forwarding):
    """Sends one stream to engines, and records what became of each send.

    Attributes:
        caller: receives the events.
        progress: what the caller has received so far.
        placer: chooses engines for the sends.
        relay: receives the answer to the latest send; None before its start.
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
            return {'events': 0, **self.placer.room.details()}
        first_event_s = progress.first_at_s - self.request.arrived_s
        return {
            'events': progress.events,
            'first_event_ms': round(first_event_s * MILLISECONDS),
            'longest_gap_ms': round(progress.longest_gap_s * MILLISECONDS),
            **self.placer.room.details(),
        }

    async def place(self) -> StreamPlacement | None:
        """Choose an engine, and one for the backup copy of the run.

        Returns:
            The placement, with the stream's load added to the engine; None if
            there is no engine, or the stream waits for one with room.
        """
        placer = self.placer
        placer.room.begin()
        while True:
            server, resumption = await placer.place(
                self.eligibility.is_eligible
            )
            if server is not None:
                placement = await self._reserve(server, resumption)
                if placement is not None:
                    return placement
            elif not placer.room.end_without_room():
                return None
            if placer.room.must_wait:
                placer.give_back_choice()
                return None

    def drop(self, placement: StreamPlacement) -> None:
        """Give up a placement that is not used."""
        self.placer.release(placement.server, prefilled=False)
        self.placer.room.drop(placement.lease)
        self.placer.give_back_choice()

    def start(self, placement: StreamPlacement) -> StreamSend:
        """Send the stream to the engine that was chosen."""
        context = self.context
        relay = StreamRelay(
            context,
            self.request,
            placement.server,
            self.caller,
            self.progress,
            SilenceDetector(self.gap_target_s(), context.timers.now()),
        )
        send = StreamSend(placement, relay)
        send.cleanup.callback(self._release, send)
        recall = functools.partial(_recall, relay)
        send.cleanup.enter_context(
            context.quarantine.sending(self.traits, recall)
        )
        backup = placement.backup
        transfer = context.transport.stream(
            build_request(
                self.request,
                placement.server,
                self.remaining_s(),
                backup and backup.address,
                placement.resumption,
                engine_admission(
                    context,
                    self.request,
                    placement.server,
                    self.placer.room.name_to_use(placement.lease),
                ),
            ),
            relay,
        )
        relay.transfer = transfer
        transfer.on_rest = functools.partial(_rest, relay)
        self.placer.has_unused_choice = False
        send.version_send = context.rollouts.started(
            placement.server,
            self.request.route.name,
            counted=self.placer.choice.counted,
        )
        if send.version_send is not None:
            relay.detector.on_progress = send.version_send.event
        send.cleanup.callback(transfer.cancel)
        return send

    def conclude(self, send: StreamSend, outcome: Outcome) -> Step:
        """Record the outcome of a send that has ended; return the next step."""
        send.close()
        server = send.server
        record_version(self.context, server, send.version_send, outcome)
        resumption = send.placement.resumption
        match outcome:
            case Refused(reached=True, replaced=False) if resumption.copy_at:
                pass  # it holds no copy of the run, which is not a failure
            case _:
                record_outcome(self.context, server, outcome)
        self.relay = send.relay
        self.record_end(server, outcome)
        self.placer.send_ended(server, outcome, resumption, send.copy_holder)
        step = self._next_step(outcome, self.remaining_s())
        self.request_log.log_send(
            server,
            outcome,
            step,
            last_event=self.progress.last_event,
            begun=send.relay.begun_at_s is not None,
            events_of_send=send.relay.events,
            resumed_from_copy=resumption.copy_at is not None,
            server_zone=server.availability_zone,
        )
        return step

    def abandon(self, send: StreamSend) -> None:
        """End a send whose outcome nobody waits for."""
        send.close()
        self.relay = send.relay
        record_version(self.context, send.server, send.version_send, None)
        self.record_given_up(send.server)

    def gap_target_s(self) -> float:
        """Return the longest acceptable pause between two events."""
        match self.request.route.policy:
            case ResumableStream(gap_target_s=gap_target_s):
                return gap_target_s
            case _:
                return DEFAULT_GAP_TARGET_S

    async def _reserve(
        self, server: BackendServer, resumption: Resumption
    ) -> StreamPlacement | None:
        # Streams placed while the other engine is chosen take this one into
        # account.
        self.placer.reserve(server)
        placement = None
        try:
            placement = await self._prepare(server, resumption)
        finally:
            if placement is None:
                self.placer.release(server, prefilled=False)
        return placement

    async def _prepare(
        self, server: BackendServer, resumption: Resumption
    ) -> StreamPlacement | None:
        """Choose an engine for the copy, and take a lease at the other one.

        None if the engine has no room or has said meanwhile that it wants no
        requests.
        """
        backup = await self.placer.backup(server, resumption)
        lease = None
        # The copy of a run occupies its room already.
        if resumption.copy_at is None:
            match await self.placer.room.ask(server):
                case Lease() as lease:
                    pass  # noqa: WPS420
                case Denial.full | Denial.unreachable:
                    return None
        if self.eligibility.may_send(server):
            return StreamPlacement(server, resumption, backup, lease)
        self.placer.room.drop(lease)
        return None

    def _release(self, send: StreamSend) -> None:
        self.placer.release(send.server, prefilled=send.relay.events > 0)

    def _next_step(self, outcome: Outcome, remaining_s: float) -> Step:
        if isinstance(outcome, Answered) and self.caller.started:
            status = outcome.response.status
            outcome = Lost(f'answered {status} in the middle of a stream')
        return self.plan.next_step(outcome, remaining_s)


def _recall(relay: StreamRelay) -> None:
    """Take a stream back whose answer has not begun."""
    if relay.begun_at_s is None:
        relay.settle(Recalled('quarantined meanwhile'))


def _rest(relay: StreamRelay, rest_s: float) -> None:
    """Tell the detector that this host does not read the stream for a time."""
    relay.detector.rest(relay.context.timers.now() + rest_s)
