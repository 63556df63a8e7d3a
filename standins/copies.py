"""Copies of runs that a stand-in keeps at another server."""

import asyncio
import contextlib
import json

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest


class CopyLink:
    """Sends the states of runs to another server, one message at a time.

    Runs that change while a message is under way share the next one.

    Attributes:
        url: where the other server takes copies.
        unsent: events of runs to be sent, by request id.
        lock: held while a message is under way.
    """

    def __init__(self, address: str) -> None:
        self.url = f'http://{address}/copy'
        self.http = AsyncHTTPClient()
        self.unsent: dict[str, int] = {}
        self.lock = asyncio.Lock()

    async def copy(self, request_id: str, events: int) -> None:
        """Send the state of a run; return once it was sent.

        A run continues without its copy if the other server fails.
        """
        self.unsent[request_id] = events
        async with self.lock:
            if request_id not in self.unsent:
                return  # sent with the state of another run
            body = json.dumps(self.unsent)
            self.unsent = {}
            request = HTTPRequest(self.url, 'POST', body=body)
            with contextlib.suppress(OSError, HTTPError):
                await self.http.fetch(request, raise_error=False)
