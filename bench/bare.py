"""Baseline for `bench relay`: a minimal relay of event streams on tornado.

Usage:
  bench.bare --listen ADDRESS --to URLS

Options:
  --listen ADDRESS  IP and port to listen on.
  --to URLS         Base URLs of engines, separated by commas, used in turn.
"""

import asyncio
import itertools
from collections.abc import Iterator

from docopt import docopt
from tornado.httpclient import AsyncHTTPClient
from tornado.web import Application, RequestHandler

MAX_CLIENTS = 1000
STREAM_TIMEOUT_S = 600


class HealthHandler(RequestHandler):
    """Reports that the relay is ready."""

    def get(self) -> None:
        """Return an empty 200 response."""


class RelayHandler(RequestHandler):
    """Forwards each chunk of an engine's stream to the caller."""

    def initialize(self, urls: Iterator[str]) -> None:
        """Set the engines' URLs, which are used in turn."""
        self.urls = urls

    async def post(self) -> None:
        """Relay one stream."""
        self.set_header('Content-Type', 'text/event-stream')
        await AsyncHTTPClient().fetch(
            f'{next(self.urls)}/v1/generate',
            method='POST',
            body=self.request.body,
            streaming_callback=self._relay,
            request_timeout=STREAM_TIMEOUT_S,
        )

    def _relay(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


async def serve(listen: str, urls: list[str]) -> None:
    """Serve until the process is terminated."""
    AsyncHTTPClient.configure(
        'tornado.curl_httpclient.CurlAsyncHTTPClient',
        max_clients=MAX_CLIENTS,
    )
    routes = [
        ('/healthz', HealthHandler),
        ('/v1/generate', RelayHandler, {'urls': itertools.cycle(urls)}),
    ]
    ip, _, port = listen.rpartition(':')
    Application(routes, log_function=lambda _: None).listen(int(port), ip)
    await asyncio.Event().wait()


if __name__ == '__main__':
    arguments = docopt(__doc__)
    asyncio.run(serve(arguments['--listen'], arguments['--to'].split(',')))
