"""Relays the events of a stream to the caller as they arrive."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Mapping
from dataclasses import replace
from http import HTTPStatus

from celerywharf.adapters.transports import (
    HttpResponse,
    Transfer,
    is_framed,
)
from celerywharf.backends import BackendServer
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
)
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import (
    failed_send,
    invalid_answer,
    is_from_server,
    leaving_incarnation,
    record_first_event,
    record_limit,
    record_stated_load,
    refusal,
    states_load,
)
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.forwarding._statements import record_availability
from celerywharf.peers import PeerHost
from celerywharf.platform import (
    AnswerHeaders,
    Event,
    EventSplitter,
    read_answer_headers,
)
from celerywharf.units import SMALL_MESSAGE_BYTES

MAX_ERROR_BODY_BYTES = SMALL_MESSAGE_BYTES
# Events without tokens that an engine may send beyond one for each token.
EXTRA_EVENTS = 16
# Complete answers without a new event in a row; if only the end of a stream was
# lost, all engines give them.
MAX_EMPTY_ANSWERS = 2
# A server that a request crashes ends within this time after the headers.
BEGINNING_S = 0.5
# A server that has answered a request for this long was not crashed by it.
PROOF_S = 1.0


class Progress:
    """What the caller has received of a stream, over all sends.

    Attributes:
        last_event: id of the last event written; None before the first.
        events: number of events written.
        first_at_s: when the first event was written, monotonic seconds; None
            before that.
        last_at_s: when the last event was written, monotonic seconds.
        longest_gap_s: longest pause between two consecutive events.
        empty_answers: complete answers without a new event since the last one
            written.
        software_version: of the engine that sent the stream's first event; None
            before it.
    """

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        self.events = 0
        self.first_at_s: float | None = None
        self.last_at_s: float = 0
        self.longest_gap_s: float = 0
        self.empty_answers = 0
        self.software_version: str | None = None

    def record_event(self, now_s: float) -> None:
        """Record that an event was written to the caller."""
        if self.first_at_s is None:
            self.first_at_s = now_s
        else:
            gap_s = now_s - self.last_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_at_s = now_s
        self.empty_answers = 0
        self.events += 1

    def may_be_all(self, output_tokens: int) -> bool:
        """Return whether an answer without a new event can end the stream.

        One that resumes a stream proves nothing about an end that the caller
        has not seen, unless there has been an event for each token.

        Args:
            output_tokens: maximum length of the output; 0 if not known.
        """
        if not self.events:
            return True
        return 0 < output_tokens <= self.last_event

    def record_empty_answer(self) -> bool:
        """Record a complete answer that proves no end and has no new event.

        Returns:
            Whether another engine is to be asked.
        """
        self.empty_answers += 1
        return self.empty_answers < MAX_EMPTY_ANSWERS


class StreamRelay:
    """Receives the answer to one send and relays its events to the caller.

    Only complete events that continue the stream in order are relayed; events
    that the caller already has from another send are skipped.

    Attributes:
        events: number of events relayed by this send.
        begun_at_s: when the headers of a stream arrived, monotonic seconds;
            None before that, and for other answers.
        framed: the answer declares its length or comes in chunks; otherwise
            it ends with its connection.
        body: body of an answer that is not a stream.
        proven: the server has answered for so long that the prompt does not
            crash it.
        transfer: the exchange with the server, held while the caller is
            congested; None until it is known.
        done: future of the outcome of the send.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        server: BackendServer | PeerHost,
        caller: Caller,
        progress: Progress,
        detector: SilenceDetector,
    ) -> None:
        self.context = context
        self.request = request
        self.server = server
        self.caller = caller
        self.progress = progress
        self.detector = detector
        self.splitter = EventSplitter()
        self.status = 0
        self.framed = False
        self.headers: AnswerHeaders | None = None
        self.body = bytearray()
        self.events = 0
        self.begun_at_s: float | None = None
        self.proven = False
        self.transfer: Transfer | None = None
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def max_event(self) -> int:
        """Return the highest event id that the requested tokens can have.

        0 if the caller did not limit them.
        """
        output_tokens = self.request.headers.output_tokens
        return output_tokens and output_tokens + EXTRA_EVENTS

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Check status and headers; end the send if they are not usable."""
        if self.headers is not None:
            return
        now_s = self.context.timers.now()
        self.context.loads.mark_alive(self.server.name, now_s)
        self.context.health.reached(self.server)
        self.status = status
        self.framed = is_framed(headers)
        self.headers = read_answer_headers(headers)
        outcome = refusal(self.request, status, self.headers) or invalid_answer(
            self.request, status, self.headers
        )
        record_availability(
            self.context.health,
            self.context.limits,
            self.server,
            status,
            self.headers,
        )
        if states_load(self.request, status, self.headers):
            record_stated_load(self.context, self.server, self.headers)
        if outcome is None or is_from_server(outcome):
            sent_s = self.detector.started_s
            record_limit(self.context, self.server, self.headers, sent_s)
        if outcome is not None:
            self.settle(outcome)
        elif status == HTTPStatus.OK:
            self.begun_at_s = now_s

    def on_chunk(self, chunk: bytes) -> None:
        """Relay the events that are complete."""
        if self.done.done():
            return
        if self.status != HTTPStatus.OK:
            self.body += chunk
            if len(self.body) > MAX_ERROR_BODY_BYTES:
                self.body.clear()
                self.settle(Lost('error body too large'))
            return
        try:
            for event in self.splitter.feed(chunk):
                self._on_event(event)
        except ValueError as error:
            self.settle(Lost(str(error)))

    def on_end(self, error: TransportError | None) -> None:
        """Set the outcome when the connection has ended."""
        if self.done.done():
            return
        self.settle(self._final_outcome(error))

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome of the send, unless it is already set."""
        if not self.done.done():
            self.done.set_result(outcome)

    def _final_outcome(self, error: TransportError | None) -> Outcome:
        if error:
            outcome = failed_send(error)
            if isinstance(outcome, Lost) and outcome.broken:
                begun = outcome.begun and self._has_just_begun()
                return replace(outcome, begun=begun)
            return outcome
        if self.headers is None:
            return Lost('answer without a head', broken=True)
        if self.splitter.incomplete:
            return self._ended_early('stream ended inside an event')
        if self.status != HTTPStatus.OK:
            response = HttpResponse(self.status, {}, bytes(self.body))
            return Answered(response, self.headers, self._leaving())
        lost = self._ended_without_event()
        if lost is None and not self.caller.started:
            self._begin_answer()
        return lost or Finished()

    def _begin_answer(self) -> None:
        self.caller.leaving = self._leaving()
        self.caller.begin(self.status, self.headers.forwarded)

    def _leaving(self) -> str:
        return leaving_incarnation(self.server, self.headers)

    def _ended_early(self, reason: str) -> Lost:
        """Return the outcome of a stream that ended in an impossible place.

        If its length was not declared, its connection has been lost.
        """
        begun = not self.framed and self._has_just_begun()
        return Lost(reason, broken=not self.framed, begun=begun)

    def _ended_without_event(self) -> Lost | None:
        """Return the outcome unless the stream may end where it did."""
        if self.events:
            return None
        lost = self._ended_early('stream ended without an event')
        if not self.framed:
            return lost
        if self.progress.may_be_all(self.request.headers.output_tokens):
            return None
        return replace(lost, resumable=self.progress.record_empty_answer())

    def _has_just_begun(self) -> bool:
        if self.begun_at_s is None:
            return False
        first_at_s = self.progress.first_at_s or self.begun_at_s
        since_s = min(self.begun_at_s, first_at_s)
        return self.context.timers.now() - since_s <= BEGINNING_S

    def _on_event(self, event: Event) -> None:
        if self.done.done():
            return
        last = self.progress.last_event or 0
        if event.number is None or event.number > last + 1:
            self.settle(Lost(f'event {event.number} received after {last}'))
        elif self.max_event and event.number > self.max_event:
            reason = 'more events than requested tokens'
            self.settle(Lost(reason, resumable=False))
        elif event.number == last + 1:
            self._forward_event(event, self.context.timers.now())

    def _forward_event(self, event: Event, now_s: float) -> None:
        # Only events that are new to the caller show that the server works.
        self._record_liveness(now_s)
        self._record_origin()
        if not self.caller.started:
            self.caller.software_version = self.progress.software_version
            self._begin_answer()
        self._observe_latency(now_s)
        self.progress.record_event(now_s)
        self.progress.last_event = event.number
        self.events += 1
        self._record_progress(now_s)
        self.caller.write(event.text)
        if self.caller.congested and self.transfer is not None:
            self._hold(self.transfer)

    def _record_liveness(self, now_s: float) -> None:
        self.context.loads.mark_alive(self.server.name, now_s)
        if not self.detector.has_events:
            record_first_event(
                self.context, self.server, now_s - self.detector.started_s
            )
        self.detector.record_event(now_s)

    def _record_origin(self) -> None:
        """Record which software version began the stream."""
        if self.progress.software_version is not None:
            return
        self.progress.software_version = self.server.software_version
        self.context.origins.began(
            self.request.headers.request_id,
            self.server,
            self.request.given_up_at_s(),
        )

    def _record_progress(self, now_s: float) -> None:
        if not self.proven and now_s - self.begun_at_s >= PROOF_S:
            self.proven = True
            self.context.quarantine.progressed(self.request.traits)

    def _hold(self, transfer: Transfer) -> None:
        """Stop reading from the server until the caller has caught up."""
        transfer.pause()
        self.detector.held = True
        self.caller.on_drained = functools.partial(self._continue, transfer)

    def _continue(self, transfer: Transfer) -> None:
        self.caller.on_drained = None
        self.detector.held = False
        self.detector.excuse(self.context.timers.now())
        if not self.done.done():
            transfer.resume()

    def _observe_latency(self, now_s: float) -> None:
        metrics = self.context.metrics
        if self.progress.first_at_s is None:
            elapsed_s = now_s - self.request.arrived_s
            metrics.observe('first_event', elapsed_s)
        elif not self.events:
            metrics.observe('resume_silence', now_s - self.progress.last_at_s)
