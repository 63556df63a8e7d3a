"""Minimal callers that read event streams and count events."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EVENT_SEPARATOR = b'\n\n'
CHUNK_BYTES = 65536


@dataclass(slots=True)
class StreamCounts:
    """Counters shared by concurrent callers.

    Attributes:
        events: number of events, heartbeats included.
        opened: streams of which some data was received.
        failed: requests not answered with status 200.
    """

    events: int = 0
    opened: int = 0
    failed: int = 0


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """A POST request that is answered with an event stream."""

    address: str
    path: str
    body: Any
    headers: Mapping[str, str]

    def encode(self) -> bytes:
        """Return the bytes of the HTTP request."""
        payload = json.dumps(self.body).encode()
        lines = [
            f'POST {self.path} HTTP/1.1',
            f'Host: {self.address}',
            f'Content-Length: {len(payload)}',
            'Content-Type: application/json',
            *(f'{name}: {text}' for name, text in self.headers.items()),
        ]
        return '\r\n'.join([*lines, '\r\n']).encode() + payload


async def read_stream(request: StreamRequest, counts: StreamCounts) -> None:
    """Send a request, and read and count its events until it ends."""
    ip, _, port = request.address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        await _exchange(request, counts, reader, writer)
    finally:
        writer.close()


async def _exchange(
    request: StreamRequest,
    counts: StreamCounts,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(request.encode())
    head = await reader.readuntil(b'\r\n\r\n')
    if b' 200 ' not in head.partition(b'\r\n')[0]:
        counts.failed += 1
        return
    counts.events += (await reader.read(CHUNK_BYTES)).count(EVENT_SEPARATOR)
    counts.opened += 1
    while chunk := await reader.read(CHUNK_BYTES):
        counts.events += chunk.count(EVENT_SEPARATOR)
