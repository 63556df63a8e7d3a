"""Stand-in for a backend server: plain calls, streams and reports."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from rig_2.messages import Message, Server, write_answer, write_head, write_json

OK = 200
NOT_FOUND = 404
MISDIRECTED = 421
MS_PER_S = 1000
READ_BYTES = 65536
STAMP = {'Server-Stamp': '3e1b.07.5a2.600.0.c9f2a4d1'}


@dataclass(slots=True)
class Pace:
    """How a backend server works.

    Attributes:
        work_s: duration of a plain call.
        event_s: time between events.
        events: events of a stream.
        read_bytes_s: bytes that it reads a second from each request; None if
            it reads as fast as they come.
    """

    work_s: float = 0.045
    event_s: float = 0.04
    events: int = 130
    read_bytes_s: int | None = None


class BackendServer:
    """Serves one service.

    Attributes:
        runs: ids of the requests that it began to work on.
        running: ids and events of the streams in progress.
        reading: requests whose bodies are being read.
    """

    def __init__(self, name: str, service: str, pace: Pace) -> None:
        self.name = name
        self.service = service
        self.pace = pace
        self.runs: list[str] = []
        self.running: dict[str, int] = {}
        self.reading = 0
        self.born_ms = round(time.time() * MS_PER_S)
        self.server = Server(self.serve)

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': 'glw-a',
            'state': 'ready',
            'version': 'v1',
            'slots': 48,
            'seq': 1,
            'coldLeftMs': 0,
            'born': self.born_ms,
        }

    async def serve(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a report, or run a request."""
        if request.start[1].startswith('/api/report'):
            writer.write(write_json(OK, self._report()))
            return
        if request.start[1].startswith('/api/'):
            await reader.readexactly(request.length)
            writer.write(write_json(NOT_FOUND, {}))
            return
        if request.headers.get('expect-instance') != self.name:
            writer.write(write_answer(MISDIRECTED, b'', {'Not-Run': '1'}))
            return
        self.reading += 1
        try:
            request.body = await self._read_body(request, reader)
        finally:
            self.reading -= 1
        attempt = request.headers['attempt-id']
        self.runs.append(attempt)
        headers = {'Attempt-Id': attempt, **STAMP}
        if 'token-count' in request.headers:
            await self._stream(request, headers, writer)
            return
        await asyncio.sleep(self.pace.work_s)
        writer.write(self.answer(headers))

    def answer(self, headers: dict[str, str]) -> bytes:
        """Return the bytes of the answer to a plain call."""
        return write_answer(OK, b'done', headers)

    def _report(self) -> dict[str, Any]:
        return {
            'queued': self.reading,
            'running': len(self.running),
            'kvUsed': 0,
            'kvTotal': 88000,
            'born': self.born_ms,
            'runs': [
                [attempt, 0, events, 5]
                for attempt, events in self.running.items()
                if events
            ],
        }

    async def _read_body(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        if self.pace.read_bytes_s is None:
            return await reader.readexactly(request.length)
        left = request.length
        while left:
            chunk = await reader.read(min(READ_BYTES, left))
            if not chunk:
                raise asyncio.IncompleteReadError(b'', left)
            left -= len(chunk)
            await asyncio.sleep(len(chunk) / self.pace.read_bytes_s)
        return b''

    async def _stream(
        self,
        request: Message,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = headers['Attempt-Id']
        first = int(request.headers.get('last-event-id', '0'))
        framing = {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(write_head('HTTP/1.1 200 OK', {**headers, **framing}))
        self.running[attempt] = first
        try:
            for number in range(first + 1, self.pace.events + 1):
                await asyncio.sleep(self.pace.event_s)
                writer.write(_chunk(f'id: {number}\ndata: word\n\n'))
                await writer.drain()
                self.running[attempt] = number
        finally:
            self.running.pop(attempt, None)
        writer.write(b'0\r\n\r\n')


def _chunk(text: str) -> bytes:
    return f'{len(text):x}\r\n{text}\r\n'.encode()
