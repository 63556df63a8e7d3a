"""Event stream of a run to one caller, with injected faults."""

import json

from tornado.iostream import IOStream

from standins.batches import AttemptKey, Run
from standins.control import reset

HEADERS = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n'
    b'Connection: close\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


class TokenStream:
    """Writes a run's tokens to one connection.

    Attributes:
        cursor: offset of the next token to send.
        event_start: bytes with which each event begins.
        delayed_events: events held back, to be sent out of order.
        replacement: event of another stream to send instead of the next one.
    """

    def __init__(self, connection: IOStream, run: Run, offset: int) -> None:
        self.connection = connection
        self.run = run
        self.key = run.key
        self.cursor = offset
        self.event_start = _format_event_start(run.key)
        self.delayed_events: list[bytes] = []
        self.replacement = b''
        connection.set_nodelay(True)
        connection.write(HEADERS)

    @property
    def pending_count(self) -> int:
        """Number of tokens to write now; 0 while the peer reads too slowly."""
        if self.connection.closed() or self.connection.writing():
            return 0
        return self.run.offset - self.cursor

    @property
    def is_finished(self) -> bool:
        """Whether the run has ended and all its tokens were taken."""
        return bool(self.run.end) and self.cursor == self.run.offset

    def format_next(self) -> bytes:
        """Return the event of the next token."""
        return self._format(self.cursor)

    def take_events(self, limit: int) -> list[bytes]:
        """Return the events of at most `limit` tokens and move the cursor."""
        stop = self.cursor + min(limit, self.pending_count)
        events = [self._format(offset) for offset in range(self.cursor, stop)]
        self.cursor = stop
        if events and self.replacement:
            events[0] = self.replacement
            self.replacement = b''
        return events

    def write(self, events: list[bytes]) -> None:
        """Send events as one chunk."""
        if events and not self.connection.closed():
            self._send(_format_chunk(b''.join(events)))

    def finish(self) -> None:
        """Send the end event and close after it."""
        if self.connection.closed():
            return
        end = b'%b%d,"end":"%b"}\n\n' % (
            self.event_start,
            self.cursor,
            str(self.run.end).encode(),
        )
        sent = self.connection.write(_format_chunk(end) + LAST_CHUNK)
        sent.add_done_callback(lambda _: self.connection.close())

    def truncate(self, event: bytes) -> None:
        """Send half an event and close after it."""
        half = event[: len(event) // 2]
        sent = self.connection.write(_format_chunk(half))
        sent.add_done_callback(lambda _: self.connection.close())

    def abort(self) -> None:
        """Reset the connection."""
        reset(self.connection)

    def _send(self, payload: bytes) -> None:
        # Writes to the socket directly: tornado's write costs a future and a
        # callback of the loop, which is most of the work of a small write.
        try:
            count = self.connection.socket.send(payload)
        except BlockingIOError:
            count = 0
        except OSError:
            self.connection.close()
            return
        if count < len(payload):
            self.connection.write(payload[count:])

    def _format(self, offset: int) -> bytes:
        token = self.run.read_token(offset).encode()
        return b'%b%d,"t":"%b"}\n\n' % (self.event_start, offset, token)


def _format_event_start(key: AttemptKey) -> bytes:
    generation = json.dumps(key.generation)
    start = f'data: {{"g":{generation},"e":{key.epoch},"a":{key.attempt},"o":'  # noqa: WPS221
    return start.encode()


def _format_chunk(payload: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(payload), payload)
