"""Single exchanges of the transport with stand-ins of backend servers."""

import asyncio

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest


def fetch_once(address, body):
    """Post a body to a server on a new connection; return the response.

    Raises:
        TransportError: there is no complete answer.
    """

    async def fetch():
        transport = CurlTransport()
        request = HttpRequest(
            'POST',
            f'http://{address}/',
            {'Attempt-Id': 'r1'},
            body,
            fresh_connection=True,
        )
        try:
            return await transport.fetch(request)
        finally:
            transport.close()

    return asyncio.run(fetch())
