"""Stand-in for backend servers that send without end.

Serves any number of addresses in one thread of the calling process.  Each
connection receives the start of an answer and then bytes until the peer closes.
Reports of load are answered correctly, as by an idle engine, unless the kind is
``reports``.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import re
import subprocess
import sys
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Self

from celerywharf.units import SMALL_MESSAGE_BYTES

BLOCK = 'x' * SMALL_MESSAGE_BYTES
REQUEST_ID = re.compile(r'attempt-id: *(\S+)', re.IGNORECASE)
TIMEOUT_S = 5
REPORT_LINE = 'GET /api/report'
IDLE_REPORT = '{"queued":0,"running":0,"kvUsed":0,"kvTotal":88000,"runs":[]}'
REPORT = (
    f'HTTP/1.1 200 OK\r\nContent-Length: {len(IDLE_REPORT)}\r\n\r\n'
    f'{IDLE_REPORT}'
)
TRICKLE_PERIOD_S = 0.02
PIECES = 5000  # small pieces that are written at once


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """What a server sends.

    Attributes:
        start: sent once; ``ID`` in it stands for the id of the request.
        repeated: sent until the peer closes.
        period_s: pause between two repetitions, seconds.
    """

    start: str
    repeated: str
    period_s: float = 0


def _signed(rest: str, status: str = '200 OK') -> str:
    """Return the start of an answer with the headers of a sound server."""
    return f'HTTP/1.1 {status}\r\nAttempt-Id: ID\r\nServer-Stamp: s\r\n{rest}'


def _event_stream(start: str) -> str:
    return _signed(f'Content-Type: text/event-stream\r\n\r\n{start}')


def _chunks(size: int) -> EndlessAnswer:
    """Return an answer of chunks of a few bytes."""
    return EndlessAnswer(
        _signed('Transfer-Encoding: chunked\r\n\r\n'),
        f'{size}\r\n{"x" * size}\r\n' * PIECES,
    )


EVENT = 'id: 1\ndata: word-1\n\n'
ANSWERS = {
    'header lines': EndlessAnswer(_signed(''), 'X-Header: value\r\n' * 1000),
    'one header line': EndlessAnswer(_signed('X-Header: '), BLOCK),
    'interim answers': EndlessAnswer(
        '', 'HTTP/1.1 100 Continue\r\n\r\n' * 1000
    ),
    'no HTTP': EndlessAnswer('', BLOCK),
    'a body of a huge length': EndlessAnswer(
        _signed('Content-Length: 99999999999\r\n\r\n'), BLOCK
    ),
    'chunks': EndlessAnswer(
        _signed('Transfer-Encoding: chunked\r\n\r\n'),
        f'{len(BLOCK):x}\r\n{BLOCK}\r\n',
    ),
    'trailers': EndlessAnswer(
        _signed('Transfer-Encoding: chunked\r\n\r\n0\r\n'),
        'X-Trailer: value\r\n' * 1000,
    ),
    'a body until the connection closes': EndlessAnswer(_signed('\r\n'), BLOCK),
    'reports': EndlessAnswer(_signed('\r\n'), BLOCK),
    'an error body': EndlessAnswer(_signed('\r\n', '500 Failed'), BLOCK),
    'an event that never ends': EndlessAnswer(
        _event_stream('id: 1\ndata: '), BLOCK
    ),
    'comments': EndlessAnswer(
        _event_stream(''), ': still here\n\n', TRICKLE_PERIOD_S
    ),
    'the same event': EndlessAnswer(
        _event_stream(EVENT), EVENT, TRICKLE_PERIOD_S
    ),
    'single bytes': EndlessAnswer(_event_stream(''), 'd', TRICKLE_PERIOD_S),
    'chunks of one byte': _chunks(1),
    'chunks of two bytes': _chunks(2),
    'chunks of three bytes': _chunks(3),
    'a chunk extension': EndlessAnswer(
        _signed('Transfer-Encoding: chunked\r\n\r\n5;x='), BLOCK
    ),
    'the same event at full speed': EndlessAnswer(
        _event_stream(EVENT), EVENT * PIECES
    ),
    'event chunks of two bytes': EndlessAnswer(
        _signed(
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ),
        '2\r\nxx\r\n' * PIECES,
    ),
    'lines of two bytes': EndlessAnswer(
        _event_stream('id: 1\n'), 'x\n' * PIECES
    ),
}


class EndlessServers:
    """Servers that send one kind of answer without end.

    Attributes:
        kind: a key of `ANSWERS`, or ``events`` for events in order, far more
            than requested.
        addresses: ``ip:port`` of each server.
        connections: number of connections accepted.
        sent_bytes: total size of what was sent.
    """

    def __init__(self, kind: str, count: int = 1) -> None:
        self.kind = kind
        self.count = count
        self.addresses: list[str] = []
        self.connections = 0
        self.sent_bytes = 0
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.ready = threading.Event()

    def __enter__(self) -> Self:
        self.thread.start()
        self.ready.wait(TIMEOUT_S)
        return self

    def __exit__(self, *exception: object) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _run(self) -> None:
        self.loop.run_until_complete(self._listen())
        self.ready.set()
        self.loop.run_forever()
        self.loop.run_until_complete(_cancel_tasks())
        self.loop.close()

    async def _listen(self) -> None:
        for _ in range(self.count):
            server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
            ip, port = server.sockets[0].getsockname()
            self.addresses.append(f'{ip}:{port}')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._answer(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        if head.startswith(REPORT_LINE) and self.kind != 'reports':
            writer.write(REPORT.encode())
            return
        found = REQUEST_ID.search(head)
        request_id = found.group(1) if found else ''
        answer = ANSWERS.get(self.kind, EndlessAnswer(_event_stream(''), ''))
        start = answer.start.replace('ID', request_id).encode()
        for piece in itertools.chain((start,), self._pieces(answer)):
            writer.write(piece)
            self.sent_bytes += len(piece)
            await writer.drain()
            await asyncio.sleep(answer.period_s)

    def _pieces(self, answer: EndlessAnswer) -> Iterator[bytes]:
        if answer.repeated:
            return itertools.repeat(answer.repeated.encode())
        return (
            f'id: {number}\ndata: word\n\n'.encode()
            for number in itertools.count(1)
        )


async def _cancel_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class EndlessProcess:
    """A process with servers that send without end.

    Attributes:
        addresses: ``ip:port`` of each server.
    """

    def __init__(self, kind: str, count: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'standins.endless', kind, str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addresses: list[str] = json.loads(self.process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait(TIMEOUT_S)


def _main(kind: str, count: str) -> None:
    """Serve until the standard input ends."""
    with EndlessServers(kind, int(count)) as servers:
        sys.stdout.write(f'{json.dumps(servers.addresses)}\n')
        sys.stdout.flush()
        sys.stdin.read()


if __name__ == '__main__':
    _main(*sys.argv[1:])
