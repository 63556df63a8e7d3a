"""HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

HEAD_END = b'\r\n\r\n'
MAX_HEAD_BYTES = 65536
BACKLOG = 512
OK = 200
REASONS = {OK: 'OK'}


@dataclass(slots=True)
class Message:
    """The head of a request or an answer.

    Attributes:
        start: words of the first line.
        headers: by name in lower case.
        body: empty until it is read.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def length(self) -> int:
        """Return the declared length of the body."""
        return int(self.headers.get('content-length', '0'))


Handler = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message.

    Raises:
        asyncio.IncompleteReadError: the connection has ended.
    """
    text = (await reader.readuntil(HEAD_END)).decode('latin-1')
    first, *lines = text.strip().split('\r\n')
    message = Message(first.split(' ', 2))
    for line in lines:
        name, _, content = line.partition(':')
        message.headers[name.strip().lower()] = content.strip()
    return message


def write_head(first: str, headers: Mapping[str, str]) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END


def write_answer(
    status: int, body: bytes, headers: Mapping[str, str] | None = None
) -> bytes:
    """Return the bytes of a complete answer."""
    reason = REASONS.get(status, 'Other')
    framing = {'Content-Length': str(len(body))}
    first = f'HTTP/1.1 {status} {reason}'
    return write_head(first, {**(headers or {}), **framing}) + body


def write_json(status: int, content: object) -> bytes:
    """Return the bytes of an answer with a JSON document."""
    headers = {'Content-Type': 'application/json'}
    return write_answer(status, json.dumps(content).encode(), headers)


class Server:
    """Serves connections, one request at a time on each.

    Attributes:
        handler: reads the body of each request and answers it.
        address: ``ip:port``; empty before the start.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=MAX_HEAD_BYTES, backlog=BACKLOG
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                await self.handler(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()
