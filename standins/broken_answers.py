"""Stand-in for a backend server that breaks off its answers.

It serves in threads of the calling process.  Each request but those for the
report is read, as a whole or its head only, and answered with given bytes,
after which the connection is ended.
"""

from __future__ import annotations

import re
import socket
import socketserver
import struct
import threading
import time
from collections.abc import Sequence
from typing import Any, Self

from celerywharf.units import SMALL_MESSAGE_BYTES
from standins.control import MS_PER_S
from standins.endless import REPORT, REPORT_LINE

REQUEST_ID = re.compile(rb'attempt-id: *(\S+)', re.IGNORECASE)
LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
HEAD_END = b'\r\n\r\n'
TIMEOUT_S = 5
POLL_S = 0.02
# Bytes that have not been read when a connection is reset are lost.
READ_S = 0.05
# Long enough for curl to see the end of the answer.
HALF_CLOSED_S = 0.2
CLOSED = 'closed'
RESET = 'reset'
HALF_CLOSED = 'half closed'

_SIGNED = (
    'HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\n'
    'Content-Type: text/event-stream\r\n'
)
_CHUNKED = f'{_SIGNED}Transfer-Encoding: chunked\r\n'
_EVENT = 'id: 1\ndata: word-1\n\n'
# Answers that end before their final head is complete.
BROKEN_HEADS = {
    'status line': 'HTTP/1.1 200 OK\r\n',
    'half a status line': 'HTTP/1.1 20',
    'status line of a refusal': 'HTTP/1.1 503 Service Unavailable\r\n',
    'half a header': f'{_SIGNED}Content-Le',
    'half a refusal': 'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nAttempt-Id: ID\r\n',
    'no blank line, length': f'{_SIGNED}Content-Length: 20\r\n',
    'no blank line, length 0': f'{_SIGNED}Content-Length: 0\r\n',
    'no blank line, no length': _SIGNED,
    'no blank line, chunked': _CHUNKED,
    'interim heads': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n',
    'interim head and half a head': f'HTTP/1.1 100 Continue\r\n\r\n{_SIGNED}',
    'bare line feeds': _SIGNED.replace('\r\n', '\n'),
}
# Answers that end inside their body.
BROKEN_BODIES = {
    'short body': f'{_SIGNED}Content-Length: 99\r\n\r\n{_EVENT}',
    'no body': f'{_SIGNED}Content-Length: 99\r\n\r\n',
    'half a chunk': f'{_CHUNKED}\r\n63\r\n{_EVENT}',
    'short body, bare line feeds': (
        f'{_SIGNED}Content-Length: 99\n\n{_EVENT}'.replace('\r\n', '\n')
    ),
}
# Answers of no sound status.
BAD_STATUSES = {
    status: f'{_SIGNED}Content-Length: 2\r\n\r\n{{}}'.replace('200', status)
    for status in ('000', '0', '099', '-01', '600', '999', '2000', '20')
}
# Lines that no head of HTTP has.
MALFORMED_LINES = {
    'blank in the name': 'Cache Control: x',
    'tab in the name': 'Cache\tControl: x',
    'control byte in the name': 'Cache\x01Control: x',
    '7F in the name': 'Cache\x7fControl: x',
    'name beyond ASCII': 'Caché: x',
    'quote in the name': 'Cache"Control: x',
    'slash in the name': 'Cache/Control: x',
    'two blanks in the name': 'Content Length : 3',
    'empty name': ': x',
    'no colon': 'Cache-Control',
    '01 in the value': 'Cache-Control: x\x01y',
    '7F in the value': 'Cache-Control: x\x7fy',
    'vertical tab before the value': 'Cache-Control: \x0bx',
    'carriage return in the value': 'Cache-Control: x\ry',
    'NUL in the value': 'Cache-Control: x\0y',
}
SHORT_LENGTH = 'Content-Length: 2'
# Answers that end with their connection.
UNFRAMED = {
    'HTTP/1.1': f'{_SIGNED}\r\n{{}}',
    'HTTP/1.0': f'{_SIGNED}\r\n{{}}'.replace('HTTP/1.1', 'HTTP/1.0'),
}
# Whole answers of few bytes.
WHOLE_ANSWERS = {
    'length': f'{_SIGNED}Content-Length: 2\r\n\r\n{{}}',
    'no length': f'{_SIGNED}\r\n{{}}',
    'chunked': f'{_CHUNKED}\r\n2\r\n{{}}\r\n0\r\n\r\n',
    'bare line feeds': f'{_SIGNED}\n{{}}'.replace('\r\n', '\n'),
    'interim head': (
        f'HTTP/1.1 100 Continue\r\n\r\n{_SIGNED}Content-Length: 2\r\n\r\n{{}}'
    ),
}


def signed_answer(*lines: str, body: str = '{}') -> str:
    """Return an answer of status 200 with more lines at the end of its head."""
    head = ''.join(f'{line}\r\n' for line in lines)
    return f'{_SIGNED}{head}\r\n{body}'


class BreakingServer:
    """Answers requests with given bytes on a port of its own.

    Attributes:
        answers: what it sends to a request each time that it comes; the last
            one from then on.  ``ID`` in it stands for the id of the request.
        ending: how connections end: ``CLOSED``, ``RESET``, or ``HALF_CLOSED``
            and closed ``HALF_CLOSED_S`` later.
        reads_bodies: whether it reads a request as a whole or its head only.
        request_ids: of the requests that were read as a whole, in order;
            servers that share the list take turns with their answers.
        born_ms: Unix time of its start.
        address: ``ip:port``.
    """

    def __init__(
        self,
        *answers: str,
        ending: str = CLOSED,
        reads_bodies: bool = True,
        request_ids: list[str] | None = None,
    ) -> None:
        self.answers: Sequence[str] = answers
        self.ending = ending
        self.reads_bodies = reads_bodies
        self.request_ids = [] if request_ids is None else request_ids
        self.born_ms = int(time.time() * MS_PER_S)
        self.server = _Server(('127.0.0.1', 0), _Handler)
        self.server.breaking = self
        self.address = f'127.0.0.1:{self.server.server_address[1]}'
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(POLL_S,)
        )

    def __enter__(self) -> Self:
        """Start to serve."""
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop to serve."""
        self.server.shutdown()
        self.thread.join(TIMEOUT_S)
        self.server.server_close()

    def entry(self, service: str) -> dict[str, Any]:
        """Return the entry of this server in the platform's store."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'north-1',
            'state': 'ready',
            'slots': 12,
            'seq': 1,
            'coldLeftMs': 0,
            'born': self.born_ms,
        }

    def next_answer(self, request_id: str) -> bytes:
        """Record a request; return its answer."""
        self.request_ids.append(request_id)
        times = self.request_ids.count(request_id)
        place = min(times, len(self.answers)) - 1
        return self.answers[place].replace('ID', request_id).encode()


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    request_queue_size = 128
    breaking: BreakingServer


class _Handler(socketserver.BaseRequestHandler):
    server: _Server
    request: socket.socket

    def handle(self) -> None:
        """Read a request and answer it."""
        self.request.settimeout(TIMEOUT_S)
        try:
            head = self.read()
        except OSError:
            return
        if head.startswith(REPORT_LINE.encode()):
            self.request.sendall(REPORT.encode())
        elif head:
            self.break_off(head)

    def read(self) -> bytes:
        """Return the head of a request, once what is to be read was read."""
        received = b''
        while not self.is_read(received):
            chunk = self.request.recv(SMALL_MESSAGE_BYTES)
            if not chunk:
                return b''
            received += chunk
        return received.partition(HEAD_END)[0]

    def is_read(self, received: bytes) -> bool:
        """Return whether enough of a request was read to answer it."""
        if self.server.breaking.reads_bodies:
            return _is_whole(received)
        return HEAD_END in received

    def break_off(self, head: bytes) -> None:
        """Answer a request and end its connection."""
        breaking = self.server.breaking
        request_id = REQUEST_ID.search(head)
        answer = breaking.next_answer(request_id[1].decode())
        self.request.sendall(answer)
        match breaking.ending:
            case 'reset':
                time.sleep(READ_S)
                linger = struct.pack('ii', 1, 0)
                self.request.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                self.request.close()
            case 'half closed':
                self.request.shutdown(socket.SHUT_WR)
                time.sleep(HALF_CLOSED_S)


def _is_whole(received: bytes) -> bool:
    head, end, body = received.partition(HEAD_END)
    if not end:
        return False
    length = LENGTH.search(head)
    return length is None or len(body) >= int(length[1])
