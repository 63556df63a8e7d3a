"""Runs a model engine that sends an event again and again, without end.

It listens on a free port, prints its address and its birth and serves until it
is ended.  FLOODS tells how many of its answers are so; the others are sound, as
are its reports.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
import time

from review.rig.fronts import LOOPBACK

REQUEST_ID = re.compile(r'attempt-id: *(\S+)', re.IGNORECASE)
INSTANCE = re.compile(r'expect-instance: *(\S+)', re.IGNORECASE)
LAST_EVENT = re.compile(r'last-event-id: *(\d+)', re.IGNORECASE)
TOKENS = re.compile(r'token-count: *\d+,(\d+)', re.IGNORECASE)
TOKENS_PER_EVENT = 7
PREFILL_S = 0.2
EVENT_S = 0.03
EVENT = b'id: 1\ndata: word-1\n\n'
BLOCK = EVENT * 1000
# Under half of what a machine's link carries (linkMbps 1,000).
RATE_BYTES_S = float(os.environ.get('RATE', '50000000'))
MAX_LATE_S = 0.1
floods_left = [int(os.environ.get('FLOODS', '1000000'))]
turns = [time.monotonic()]  # when the last block was due
NAME = os.environ.get('NAME', '')
BORN_MS = int(time.time() * 1000)
DEFAULT_URGENCY = 5
# Events made of each request that runs, by its id.
running: dict[str, int] = {}


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        await _answer(head, writer)
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def _answer(head: str, writer: asyncio.StreamWriter) -> None:
    if head.startswith('GET /api/report'):
        _write_whole(writer, '200 OK', _report())
        return
    instance = INSTANCE.search(head)
    if instance and instance.group(1) != NAME:
        _write_whole(writer, '421 Misdirected\r\nNot-Run: 1', '{}')
        return
    found = REQUEST_ID.search(head)
    request_id = found.group(1) if found else ''
    writer.write(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        + f'Attempt-Id: {request_id}\r\nServer-Stamp: s\r\n'.encode()
        + b'Connection: close\r\n\r\n'
    )
    running[request_id] = 0
    try:
        if floods_left[-1] > 0:
            floods_left[-1] -= 1
            running[request_id] = 1
            await _flood(writer)
        await _stream(head, request_id, writer)
    finally:
        running.pop(request_id, None)


def _report() -> str:
    runs = [
        [request_id, 0, events, DEFAULT_URGENCY]
        for request_id, events in running.items()
        if events
    ]
    return json.dumps(
        {
            'queued': 0,
            'running': len(running),
            'kvUsed': 0,
            'kvTotal': 88000,
            'born': BORN_MS,
            'runs': runs,
        }
    )


def _write_whole(writer: asyncio.StreamWriter, status: str, body: str) -> None:
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    writer.write(f'{head}{body}'.encode())


async def _stream(
    head: str, request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Send the events that the client lacks; the connection ends them."""
    resumed = LAST_EVENT.search(head)
    first = int(resumed.group(1)) if resumed else 0
    tokens = TOKENS.search(head)
    last = int(tokens.group(1)) // TOKENS_PER_EVENT if tokens else 1
    await asyncio.sleep(PREFILL_S)
    for number in range(first + 1, last + 1):
        running[request_id] = number
        writer.write(f'id: {number}\ndata: word-{number}\n\n'.encode())
        await writer.drain()
        await asyncio.sleep(EVENT_S)


async def _flood(writer: asyncio.StreamWriter) -> None:
    while True:
        await _take_turn()
        writer.write(BLOCK)
        await writer.drain()


async def _take_turn() -> None:
    """Keep all connections together within the rate."""
    now_s = time.monotonic()
    due_s = max(turns[-1] + len(BLOCK) / RATE_BYTES_S, now_s - MAX_LATE_S)
    turns[-1] = due_s
    await asyncio.sleep(max(due_s - now_s, 0))


async def _main() -> None:
    server = await asyncio.start_server(_serve, LOOPBACK, 0)
    host, port = server.sockets[0].getsockname()
    sys.stdout.write(f'{host}:{port} {BORN_MS}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main())
