"""Refusals that a faulty server writes again on a kept connection."""

import asyncio
from dataclasses import replace

from celerywharf.adapters import CurlTransport
from celerywharf.forwarding._peer_sends import build_peer_request
from celerywharf.forwarding._sends import build_request
from celerywharf.peers import PeerHost, Relay
from celerywharf.structures import Address
from tests.backends.test_directory import make_server
from tests.forwarding.test_relays import _make_request

REQUESTS = 20
KEY = bytes(32)


class RefusingServer:
    """Refuses each request twice on a connection that it keeps open.

    Attributes:
        requests: how many requests each connection carried.
    """

    def __init__(self):
        self.requests = []

    async def serve(self, reader, writer):
        """Answer the requests of a connection."""
        number = len(self.requests)
        self.requests.append(0)
        while head := await self.read_head(reader):
            self.requests[number] += 1
            writer.write(self.refusal(head) * 2)
        writer.close()

    async def read_head(self, reader):
        """Return the head of a request; empty at the end."""
        try:
            return await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return b''

    def refusal(self, head):
        """Return a refusal with the id of a request."""
        lines = head.lower().split(b'\r\n')
        name = next(line for line in lines if line.startswith(b'attempt-id'))
        return (
            b'HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n'
            b'Content-Length: 0\r\n%s\r\n\r\n' % name
        )


async def _fetch_all(build):
    server = RefusingServer()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    transport = CurlTransport()
    port = listener.sockets[0].getsockname()[1]
    named = []
    for number in range(REQUESTS):
        request = _make_request()
        headers = replace(request.headers, request_id=f'r{number}')
        headers.forwarded['attempt-id'] = headers.request_id
        request = replace(request, body=None, method='GET', headers=headers)
        response = await transport.fetch(
            build(request, Address('127.0.0.1', port))
        )
        named.append(response.headers['attempt-id'])
    transport.close()
    listener.close()
    return named, server.requests


def test_each_request_to_a_server_has_a_connection_of_its_own():
    def build(request, address):
        return build_request(request, make_server('e1', address=address), 5)

    named, requests = asyncio.run(_fetch_all(build))
    assert named == [f'r{number}' for number in range(REQUESTS)]
    assert len(requests) == REQUESTS
    assert set(requests) == {1}


def test_each_request_to_another_host_has_a_connection_of_its_own():
    def build(request, address):
        peer = PeerHost('f2', 'north-1', address, KEY, 0, frozenset())
        relay = Relay(request.headers.request_id)
        return build_peer_request(request, peer, relay, 5)

    named, requests = asyncio.run(_fetch_all(build))
    assert named == [f'r{number}' for number in range(REQUESTS)]
    assert len(requests) == REQUESTS
    assert set(requests) == {1}
