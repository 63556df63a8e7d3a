"""Those who receive a generation's tokens."""

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
CALLER_LEFT = 'the caller has left'
LAST_CHUNK = b'0\r\n\r\n'
EVENT_TAIL = ',"finish_reason":null}]}\n\n'


class Reader(abc.ABC):
    """Receives tokens in order; whoever feeds it respects ``busy``.

    Attributes:
        generation: id of the generation.
        request_id: id of the caller's request, empty when unknown.
        epoch: epoch of the owner that delivered last.
        service: name of the service.
        offset: number of tokens received.
        busy: cannot take more now.
        closed: needs nothing any more.
        wrote: something was written since the last look.
        stuck_s: since when it has been busy at every look, None when not.
        on_ready: called when it is no longer busy.
        on_gone: called once when the caller has left.
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
        self.stuck_s: float | None = None
        self.on_ready: Callable[[Reader], None] | None = None
        self.on_gone: Callable[[Reader], None] | None = None

    def open(self) -> None:  # noqa: B027
        """Learn that the generation runs; most readers need not know."""

    @abc.abstractmethod
    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Take the next tokens."""

    @abc.abstractmethod
    def write_finish(self, reason: str) -> None:
        """Take the end."""

    @abc.abstractmethod
    def write_error(self, error: CelerywharfError) -> None:
        """Take an error; nothing follows."""

    def give_up(self) -> None:  # noqa: B027
        """Let whoever waits for the answer know that the caller has left."""

    def write_heartbeat(self) -> None:  # noqa: B027
        """Show a silent caller that the generation lives, where it can."""

    def drop(self, error: CelerywharfError) -> None:
        """End where nothing more may be delivered from here."""
        self.write_error(error)

    def ready(self) -> None:
        """Become able to take more."""
        self.busy = False
        if self.on_ready is not None and not self.closed:
            self.on_ready(self)

    def stuck_for(self, now: float) -> float:
        """Look again; return the seconds it has taken nothing for."""
        if not self.busy or self.wrote:
            self.stuck_s = None
        elif self.stuck_s is None:
            self.stuck_s = now
        self.wrote = False
        return 0 if self.stuck_s is None else now - self.stuck_s

    def leave(self) -> None:
        """Note that the caller has left."""
        if self.closed:
            return
        self.closed = True
        if self.on_gone is not None:
            self.on_gone(self)


class EventReader(Reader):
    """A caller that reads server-sent events.

    It is busy until its connection is there.

    Attributes:
        opening: completes when the first byte may be sent, or with the error
            that precedes all events.
        stream: the caller's connection, None before ``connect``.
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
        """Let the headers be sent."""
        if not self.opening.done():
            self.opening.set_result(None)

    def give_up(self) -> None:
        """End the wait for the first byte."""
        if not self.opening.done():
            self.opening.set_exception(CelerywharfError(CALLER_LEFT))

    def connect(self, stream: IOStream, *, chunked: bool) -> None:
        """Begin to write to the caller's connection."""
        self.stream = stream
        self.chunked = chunked
        stream.set_nodelay(True)
        stream.set_close_callback(self.leave)
        self.ready()

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Send one event a token, as one write."""
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
        """Send the finish reason and the end mark."""
        self._prepare()
        event = (
            f'{self.head}{self.offset}{self.middle}'
            f'"","finish_reason":{quote(reason)}}}]}}\n\n'
        )
        self._finish(event.encode() + DONE)

    def write_error(self, error: CelerywharfError) -> None:
        """Send the error, as the answer's status while that is possible."""
        if self.stream is None:
            self.closed = True
            if not self.opening.done():
                self.opening.set_exception(error)
            return
        content = json.dumps(failure_content(error, self.request_id))
        self._finish(f'event: error\ndata: {content}\n\n'.encode())

    def write_heartbeat(self) -> None:
        """Send a comment."""
        if not self.busy:
            self._write(HEARTBEAT)

    def drop(self, error: CelerywharfError) -> None:
        """Cut the connection, so that the caller reconnects elsewhere."""
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
        # Not busy means that the stream holds nothing back, so the socket
        # can take the bytes without the stream's bookkeeping.
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
            self.ready()

    def _frame(self, events: bytes, *, last: bool = False) -> bytes:
        if not self.chunked:
            return events
        if last:
            return b'%x\r\n%b\r\n%b' % (len(events), events, LAST_CHUNK)
        return b'%x\r\n%b\r\n' % (len(events), events)


class TextReader(Reader):
    """A caller that wants the whole text at once.

    Attributes:
        done: completes with text parts and finish reason, or an error.
    """

    def __init__(self, generation: str) -> None:
        super().__init__(generation, 0, 0)
        self.parts: list[str] = []
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Gather tokens."""
        self.epoch = epoch
        self.parts += tokens
        self.offset += len(tokens)

    def write_finish(self, reason: str) -> None:
        """Complete."""
        self.closed = True
        self._settle((self.parts, reason), None)

    def write_error(self, error: CelerywharfError) -> None:
        """Complete with an error."""
        self.closed = True
        self._settle(None, error)

    def give_up(self) -> None:
        """End the wait for the text."""
        self._settle(None, CelerywharfError(CALLER_LEFT))

    def _settle(self, value: Any, error: CelerywharfError | None) -> None:
        if self.done.done():
            return
        if error is None:
            self.done.set_result(value)
        else:
            self.done.set_exception(error)
