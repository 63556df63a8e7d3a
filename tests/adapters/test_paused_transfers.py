"""Transfers that are paused before they have a connection."""

import asyncio

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest
from standins.broken_answers import BreakingServer

ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
MALFORMED = 'HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}'
HELD_S = 0.2
LIMIT_S = 2


class Sink:
    """Records what a transfer delivers, in order."""

    def __init__(self):
        self.received = []
        self.ended = asyncio.Event()

    def on_headers(self, status, _headers):
        """Record the status."""
        self.received.append(status)

    def on_chunk(self, chunk):
        """Record a part of the body."""
        self.received.append(chunk)

    def on_end(self, error):
        """Record the end."""
        self.received.append(error and type(error).__name__)
        self.ended.set()


def _pause_at_once(answer, held_s):
    """Return what came while the transfer was paused, and all that came."""

    async def receive(address):
        transport = CurlTransport()
        sink = Sink()
        request = HttpRequest('GET', f'http://{address}/', {'Attempt-Id': 'r1'})
        transfer = transport.stream(request, sink)
        transfer.pause()
        if held_s:
            await asyncio.sleep(held_s)
        while_paused = tuple(sink.received)
        transfer.resume()
        async with asyncio.timeout(LIMIT_S):
            await sink.ended.wait()
        transport.close()
        return while_paused, sink.received

    with BreakingServer(answer) as server:
        return asyncio.run(receive(server.address))


@pytest.mark.parametrize('held_s', [0, HELD_S])
def test_a_transfer_paused_before_it_is_connected_waits_for_its_resume(held_s):
    while_paused, received = _pause_at_once(ANSWER, held_s)
    assert not while_paused
    assert received == [200, b'{}', None]


def test_a_malformed_head_ends_a_transfer_that_is_resumed():
    while_paused, received = _pause_at_once(MALFORMED, HELD_S)
    assert not while_paused
    assert received == ['TransportError']
