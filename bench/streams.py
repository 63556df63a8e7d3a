"""Many callers that read event streams and count events."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EVENT_END = b'\n\n'
READ_BYTES = 65536


@dataclass(slots=True)
class Counts:
    """What the callers got.

    Attributes:
        events: number of events, heartbeats included.
        opened: streams that have brought at least one.
        failed: streams that were not answered with 200.
    """

    events: int = 0
    opened: int = 0
    failed: int = 0


@dataclass(frozen=True, slots=True)
class Call:
    """One POST that is answered with a stream."""

    address: str
    path: str
    body: Any
    headers: Mapping[str, str]

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        payload = json.dumps(self.body).encode()
        lines = [
            f'POST {self.path} HTTP/1.1',
            f'Host: {self.address}',
            f'Content-Length: {len(payload)}',
            'Content-Type: application/json',
            *(f'{name}: {text}' for name, text in self.headers.items()),
        ]
        return '\r\n'.join([*lines, '\r\n']).encode() + payload


async def read_stream(call: Call, counts: Counts) -> None:
    """Read a stream to its end or until cancelled."""
    ip, _, port = call.address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        await _exchange(call, counts, reader, writer)
    finally:
        writer.close()


async def _exchange(
    call: Call,
    counts: Counts,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(call.encode())
    head = await reader.readuntil(b'\r\n\r\n')
    if b' 200 ' not in head.partition(b'\r\n')[0]:
        counts.failed += 1
        return
    counts.events += (await reader.read(READ_BYTES)).count(EVENT_END)
    counts.opened += 1
    while chunk := await reader.read(READ_BYTES):
        counts.events += chunk.count(EVENT_END)
