"""Receivers of a generation's tokens."""

from __future__ import annotations

import abc
import asyncio
import json
from collections.abc import Callable
from json.encoder import encode_basestring_ascii as quote
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from celerywharf.edge import failure_content
from celerywharf.exceptions import CelerywharfError

HEARTBEAT = b': heartbeat\n\n'
DONE = b'data: [DONE]\n\n'
CALLER_DISCONNECTED = 'the caller has disconnected'
LAST_CHUNK = b'0\r\n\r\n'
EVENT_TAIL = ',"finish_reason":null}]}\n\n'


class Reader(abc.ABC):
    """Receives the tokens of a generation in order.

    No tokens may be written while it is ``busy``.

    Attributes:
        generation: id of the generation.
        request_id: id of the caller's request, empty when unknown.
        epoch: epoch of the owner that last wrote to it.
        service: name of the service.
        offset: number of tokens received.
        busy: cannot accept more at the moment.
        closed: accepts nothing any more.
        wrote: something was written since the last ``stalled_for``.
        stalled_since_s: since when every ``stalled_for`` found it busy, None
            when the last one did not.
        on_ready: called when it is no longer busy.
        on_disconnect: called once when the caller has disconnected.
    """

    def __init__(self, generation: str, epoch: int, offset: int) -> None:
        self.generation = generation
        self.request_id = ''
        self.epoch = epoch
        self.offset = offset
        self.service = ''
        self.busy = False
        self.closed = False
        self.wrote = False
        self.stalled_since_s: float | None = None
        self.on_ready: Callable[[Reader], None] | None = None
        self.on_disconnect: Callable[[Reader], None] | None = None

    def open(self) -> None:  # noqa: B027
        """Handle the start of the generation; does nothing by default."""

    @abc.abstractmethod
    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Write the next tokens."""

    @abc.abstractmethod
    def write_finish(self, reason: str) -> None:
        """Write the finish reason and close."""

    @abc.abstractmethod
    def write_error(self, error: CelerywharfError) -> None:
        """Write an error and close."""

    def abort(self) -> None:  # noqa: B027
        """Fail the pending response because the caller has disconnected."""

    def write_heartbeat(self) -> None:  # noqa: B027
        """Show during a silence that the generation is alive.

        Does nothing by default.
        """

    def drop(self, error: CelerywharfError) -> None:
        """Close because this host must not deliver any more."""
        self.write_error(error)

    def mark_ready(self) -> None:
        """Clear ``busy`` and request more tokens."""
        self.busy = False
        if self.on_ready is not None and not self.closed:
            self.on_ready(self)

    def stalled_for(self, now: float) -> float:
        """Return for how many seconds it has accepted nothing.

        Must be called periodically: each call checks for progress since the
        previous one.
        """
        if not self.busy or self.wrote:
            self.stalled_since_s = None
        elif self.stalled_since_s is None:
            self.stalled_since_s = now
        self.wrote = False
        return 0 if self.stalled_since_s is None else now - self.stalled_since_s

    def disconnect(self) -> None:
        """Close because the caller has disconnected."""
        if self.closed:
            return
        self.closed = True
        if self.on_disconnect is not None:
            self.on_disconnect(self)


class EventReader(Reader):
    """A caller that reads server-sent events.

    It is busy until ``connect`` is called.

    Attributes:
        opening: completes when the headers may be sent, or with the error
            that is sent instead.
        stream: the caller's connection, None before ``connect``.
        chunked: the connection uses chunked transfer encoding.
        head: start of every event, up to the offset.
        middle: part of every event between offset and token.
    """

    def __init__(
        self,
        generation: str,
        epoch: int,
        offset: int,
        request_id: str = '',
    ) -> None:
        super().__init__(generation, epoch, offset)
        self.request_id = request_id
        self.opening: asyncio.Future = (
            asyncio.get_running_loop().create_future()
        )
        self.stream: IOStream | None = None
        self.chunked = True
        self.busy = True
        self.head = ''
        self.middle = ''

    def open(self) -> None:
        """Allow the headers to be sent."""
        if not self.opening.done():
            self.opening.set_result(None)

    def abort(self) -> None:
        """Fail the wait for the headers."""
        if not self.opening.done():
            self.opening.set_exception(CelerywharfError(CALLER_DISCONNECTED))

    def connect(self, stream: IOStream, *, chunked: bool) -> None:
        """Start writing to the caller's connection."""
        self.stream = stream
        self.chunked = chunked
        stream.set_nodelay(True)
        stream.set_close_callback(self.disconnect)
        self.mark_ready()

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Send one event per token, in a single write."""
        if epoch != self.epoch or not self.head:
            self.epoch = epoch
            self._prepare()
        head = self.head
        middle = self.middle
        offset = self.offset
        events = []
        for token in tokens:
            offset += 1
            events.append(f'{head}{offset}{middle}{quote(token)}{EVENT_TAIL}')
        self.offset = offset
        self._write(''.join(events).encode())

    def write_finish(self, reason: str) -> None:
        """Send the finish reason and ``[DONE]``, then close."""
        self._prepare()
        event = (
            f'{self.head}{self.offset}{self.middle}'
            f'"","finish_reason":{quote(reason)}}}]}}\n\n'
        )
        self._finish(event.encode() + DONE)

    def write_error(self, error: CelerywharfError) -> None:
        """Send the error, as an HTTP status if no headers were sent."""
        if self.stream is None:
            self.closed = True
            if not self.opening.done():
                self.opening.set_exception(error)
            return
        content = json.dumps(failure_content(error, self.request_id))
        self._finish(f'event: error\ndata: {content}\n\n'.encode())

    def write_heartbeat(self) -> None:
        """Send a comment unless the connection is busy."""
        if not self.busy:
            self._write(HEARTBEAT)

    def drop(self, error: CelerywharfError) -> None:
        """Close the connection so that the caller reconnects elsewhere."""
        if self.stream is None:
            self.write_error(error)
            return
        self.closed = True
        self.stream.close()

    def _prepare(self) -> None:
        self.head = f'id: {self.generation}.{self.epoch}.'
        self.middle = (
            f'\ndata: {{"id":"{self.generation}","object":"text_completion",'
            f'"model":{quote(self.service)},"choices":[{{"index":0,"text":'
        )

    def _finish(self, events: bytes) -> None:
        self.closed = True
        if self.stream is None:
            return
        stream = self.stream
        stream.set_close_callback(None)
        try:
            written = stream.write(self._frame(events, last=True))
        except StreamClosedError:
            return
        written.add_done_callback(lambda _done: stream.close())

    def _write(self, events: bytes) -> None:
        self.wrote = True
        frame = self._frame(events)
        # The stream buffers nothing while the reader is not busy, so the bytes
        # can be written to the socket directly, without the stream's overhead.
        try:
            sent = self.stream.socket.send(frame)
        except BlockingIOError:
            sent = 0
        except (OSError, AttributeError):
            self.stream.close()
            return
        if sent < len(frame):
            self._write_rest(frame[sent:])

    def _write_rest(self, rest: bytes) -> None:
        try:
            written = self.stream.write(rest)
        except StreamClosedError:
            return
        if not written.done():
            self.busy = True
            written.add_done_callback(self._written)

    def _written(self, write: asyncio.Future) -> None:
        if not write.cancelled() and write.exception() is None:
            self.mark_ready()

    def _frame(self, events: bytes, *, last: bool = False) -> bytes:
        if not self.chunked:
            return events
        if last:
            return b'%x\r\n%b\r\n%b' % (len(events), events, LAST_CHUNK)
        return b'%x\r\n%b\r\n' % (len(events), events)


class TextReader(Reader):
    """A caller that requests the whole text at once.

    Attributes:
        parts: the tokens received so far.
        done: completes with all tokens and the finish reason, or an error.
    """

    def __init__(self, generation: str) -> None:
        super().__init__(generation, 0, 0)
        self.parts: list[str] = []
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Collect the tokens."""
        self.epoch = epoch
        self.parts += tokens
        self.offset += len(tokens)

    def write_finish(self, reason: str) -> None:
        """Complete ``done`` with the text."""
        self.closed = True
        self._settle((self.parts, reason), None)

    def write_error(self, error: CelerywharfError) -> None:
        """Complete ``done`` with the error."""
        self.closed = True
        self._settle(None, error)

    def abort(self) -> None:
        """Fail the wait for the text."""
        self._settle(None, CelerywharfError(CALLER_DISCONNECTED))

    def _settle(self, value: Any, error: CelerywharfError | None) -> None:
        if self.done.done():
            return
        if error is None:
            self.done.set_result(value)
        else:
            self.done.set_exception(error)
