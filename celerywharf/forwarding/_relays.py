"""Events of one send of a stream, passed to the caller as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from http import HTTPStatus

from celerywharf.adapters.transports import HttpResponse
from celerywharf.backends import BackendServer
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import Services
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
)
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import distrust, failed_send, refusal
from celerywharf.forwarding._silence import SilenceWatch
from celerywharf.platform import (
    AnswerHeaders,
    Event,
    EventSplitter,
    read_answer_headers,
)

LARGEST_ERROR_BYTES = 1024 * 1024


class Progress:
    """What the caller has of a stream, over all sends.

    Attributes:
        last_event: id of the last event written; None before the first.
        events: how many were written.
        first_s: when the first was written, monotonic seconds.
        longest_gap_s: longest pause between two of them.
    """

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        self.events = 0
        self.first_s: float | None = None
        self.last_s: float = 0
        self.longest_gap_s: float = 0

    def written(self, now_s: float) -> None:
        """Note an event that was written to the caller."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            gap_s = now_s - self.last_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_s = now_s
        self.events += 1


class StreamRelay:
    """The sink of one send; ``done`` holds its outcome."""

    def __init__(
        self,
        services: Services,
        request: IncomingRequest,
        server: BackendServer,
        caller: Caller,
        progress: Progress,
        watch: SilenceWatch,
    ) -> None:
        self.services = services
        self.request = request
        self.server = server
        self.caller = caller
        self.progress = progress
        self.watch = watch
        self.splitter = EventSplitter()
        self.status = 0
        self.headers: AnswerHeaders | None = None
        self.body = b''
        self.events = 0
        self.done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Check status and headers."""
        if self.headers is not None:
            return
        now_s = self.services.timers.now()
        self.services.loads.alive(self.server.name, now_s)
        self.status = status
        self.headers = read_answer_headers(headers)
        outcome = refusal(status, self.headers) or distrust(
            self.request,
            status,
            self.headers,
        )
        if outcome is not None:
            self.settle(outcome)

    def on_chunk(self, chunk: bytes) -> None:
        """Pass on the events that are whole."""
        if self.done.done():
            return
        if self.status != HTTPStatus.OK:
            self.body += chunk
            if len(self.body) > LARGEST_ERROR_BYTES:
                self.settle(Lost('error without end'))
            return
        try:
            events = self.splitter.feed(chunk)
        except ValueError as error:
            self.settle(Lost(str(error)))
            return
        for event in events:
            self._on_event(event)

    def on_end(self, error: TransportError | None) -> None:
        """Settle the send."""
        if self.done.done():
            return
        self.settle(self._end(error))

    def settle(self, outcome: Outcome) -> None:
        """End the send, unless it has ended."""
        if not self.done.done():
            self.done.set_result(outcome)

    def _end(self, error: TransportError | None) -> Outcome:
        if error:
            return failed_send(error)
        if self.splitter.incomplete:
            return Lost('stream ended inside an event')
        if self.status == HTTPStatus.OK:
            return Finished()
        response = HttpResponse(self.status, {}, self.body)
        return Answered(response, self.headers)

    def _on_event(self, event: Event) -> None:
        if self.done.done():
            return
        now_s = self.services.timers.now()
        self.services.loads.alive(self.server.name, now_s)
        if not self.watch.flowing:
            self.services.loads.prefilled(self.server.name)
        self.watch.event(now_s)
        last = self.progress.last_event or 0
        if event.number is None or event.number > last + 1:
            self.settle(Lost(f'event {event.number} follows {last}'))
        elif event.number == last + 1:
            self._pass_on(event, now_s)

    def _pass_on(self, event: Event, now_s: float) -> None:
        if not self.caller.started:
            self.caller.begin(self.status, self.headers.forwarded)
        self._observe(now_s)
        self.progress.written(now_s)
        self.progress.last_event = event.number
        self.events += 1
        self.caller.write(event.text)

    def _observe(self, now_s: float) -> None:
        metrics = self.services.metrics
        if self.progress.first_s is None:
            first_s = now_s - self.request.arrived_s
            metrics.observe('first_event', first_s)
        elif not self.events:
            metrics.observe('resume_silence', now_s - self.progress.last_s)
