"""Stand-in for backend servers that answer calls with large bodies.

Serves any number of addresses in one process.  All other requests get a small
answer.
"""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys

REQUEST_ID = re.compile(r'attempt-id: *(\S+)', re.IGNORECASE)
LENGTH = re.compile(r'content-length: *(\d+)', re.IGNORECASE)
TIMEOUT_S = 5


class LargeAnswers:
    """A process with servers that send large answers.

    Attributes:
        addresses: ``ip:port`` of each server.
    """

    def __init__(self, size_bytes: int, count: int) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'standins.large_answers',
                str(size_bytes),
                str(count),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addresses: list[str] = json.loads(self.process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait(TIMEOUT_S)


class _Servers:
    def __init__(self, size_bytes: int) -> None:
        self.body = b'x' * size_bytes

    async def run(self, count: int) -> None:
        """Serve until the standard input ends."""
        addresses = []
        servers = []
        for _ in range(count):
            server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
            servers.append(server)
            ip, port = server.sockets[0].getsockname()
            addresses.append(f'{ip}:{port}')
        sys.stdout.write(f'{json.dumps(addresses)}\n')
        sys.stdout.flush()
        await asyncio.to_thread(sys.stdin.read)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = LENGTH.search(head)
        await reader.readexactly(int(length.group(1)) if length else 0)
        found = REQUEST_ID.search(head)
        body = self.body if head.startswith('POST') else b'{}'
        request_id = found.group(1) if found else ''
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n'
            f'Server-Stamp: s\r\nContent-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        writer.write(body)
        await writer.drain()


def _main(size_bytes: str, count: str) -> None:
    asyncio.run(_Servers(int(size_bytes)).run(int(count)))


if __name__ == '__main__':
    _main(*sys.argv[1:])
