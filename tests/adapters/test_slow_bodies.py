"""Answers that are judged by their progress, not by their whole time."""

import asyncio
import contextlib
import time

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest
from celerywharf.exceptions import TransportError

PIECES = 12
PIECE = b'x' * 2000
PIECE_S = 0.05
TIMEOUT_S = 0.2
STALL_S = 0.25
LATE_S = 0.5


class SlowServer:
    """Sends an answer in pieces; it stops after some of them.

    Attributes:
        stops_after: number of pieces that it sends.
    """

    def __init__(self, stops_after=PIECES):
        self.stops_after = stops_after
        self.gone = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        size = PIECES * len(PIECE)
        writer.write(
            f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'.encode()
        )
        for _ in range(self.stops_after):
            writer.write(PIECE)
            await asyncio.sleep(PIECE_S)
        if self.stops_after < PIECES:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.gone.wait(), TIMEOUT_S + 2)
        writer.close()


async def fetch(server, **options):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    transport = CurlTransport()
    request = HttpRequest(
        'GET', f'http://127.0.0.1:{port}/', timeout_s=TIMEOUT_S, **options
    )
    began_s = time.monotonic()
    response = None
    with contextlib.suppress(TransportError):
        response = await transport.fetch(request)
    took_s = time.monotonic() - began_s
    server.gone.set()
    transport.close()
    listener.close()
    return response, took_s


def run(stops_after=PIECES, **options):
    async def play():
        return await fetch(SlowServer(stops_after), **options)

    return asyncio.run(play())


def test_a_body_that_makes_progress_may_take_longer():
    sizes = []
    response, took_s = run(stall_s=STALL_S, on_progress=sizes.append)
    assert took_s > TIMEOUT_S
    assert len(response.body) == PIECES * len(PIECE)
    assert sizes == sorted(sizes)
    assert sizes[-1] == len(response.body)


def test_without_a_stall_time_the_whole_counts():
    response, _ = run()
    assert response is None


@pytest.mark.parametrize('pieces', [1, 6])
def test_a_body_that_stops_fails_after_the_stall_time(pieces):
    response, took_s = run(pieces, stall_s=STALL_S)
    assert response is None
    sent_s = max(pieces * PIECE_S, TIMEOUT_S)
    assert took_s < sent_s + STALL_S + LATE_S


def test_a_body_that_does_not_begin_fails_after_the_time_out():
    response, took_s = run(0, stall_s=5.0)
    assert response is None
    assert took_s < TIMEOUT_S + LATE_S
