"""Stand-in for a caller."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field

from rig_2.messages import MAX_HEAD_BYTES, read_head, write_head

HOST = 'shop.example'
KEY = 'key-of-lakeshore'
HEXADECIMAL = 16


@dataclass(slots=True)
class Call:
    """A request and what became of it.

    Attributes:
        path: target of the request.
        size: bytes of the body.
        deadline_ms: how long the caller waits.
        is_stream: whether it asks for a stream.
        key: the API key.
        attempt: id of the request.
        status: of the answer; None without one.
        is_whole: whether the answer was complete.
        headers: of the answer, by name in lower case.
        text: what has arrived of the body.
    """

    path: str
    size: int = 2
    deadline_ms: int = 25000
    is_stream: bool = False
    key: str = KEY
    attempt: str = ''
    status: int | None = None
    is_whole: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    text: bytes = b''

    def head(self) -> bytes:
        """Return the head of the request."""
        self.attempt = self.attempt or secrets.token_hex(8)
        headers = {
            'Host': HOST,
            'Attempt-Id': self.attempt,
            'Deadline-Ms': str(self.deadline_ms),
            'Authorization': f'Bearer {self.key}',
            'Content-Length': str(self.size),
        }
        if self.is_stream:
            headers['Token-Count'] = '8000,1000'
        return write_head(f'POST {self.path} HTTP/1.1', headers)


class Caller:
    """Sends requests to a front on a connection that it keeps.

    Attributes:
        address: ``ip:port`` of the front.
        connection: reader and writer; None while there is no connection.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(self, call: Call) -> Call:
        """Send a request and read the answer, as far as it comes."""
        try:
            await self._exchange(call)
        except (asyncio.IncompleteReadError, OSError):
            self.close()
        return call

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None

    async def write_body(
        self, call: Call, writer: asyncio.StreamWriter
    ) -> None:
        """Send the body of a request."""
        writer.write(bytes(call.size))
        await writer.drain()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.connection is None:
            ip, _, port = self.address.partition(':')
            self.connection = await asyncio.open_connection(
                ip, int(port), limit=MAX_HEAD_BYTES
            )
        return self.connection

    async def _exchange(self, call: Call) -> None:
        reader, writer = await self._connect()
        writer.write(call.head())
        await self.write_body(call, writer)
        head = await read_head(reader)
        call.status = int(head.start[1])
        call.headers = head.headers
        if 'content-length' in head.headers:
            call.text = await reader.readexactly(head.length)
        else:
            await _read_chunks(reader, call)
        call.is_whole = True
        if head.headers.get('connection') == 'close':
            self.close()


async def _read_chunks(reader: asyncio.StreamReader, call: Call) -> None:
    size = -1
    while size:
        size = int(await reader.readuntil(b'\r\n'), HEXADECIMAL)
        call.text += await reader.readexactly(size)
        await reader.readexactly(2)
