"""The baseline: a bare relay of event streams, tornado's server and client.

Usage:
  bench.bare --listen ADDRESS --to URLS

Options:
  --listen ADDRESS  IP and port.
  --to URLS         Base URLs of engines, by comma, used in turn.
"""

import asyncio
import itertools
from collections.abc import Iterator

from docopt import docopt
from tornado.httpclient import AsyncHTTPClient
from tornado.web import Application, RequestHandler

LARGEST_CLIENTS = 1000
STREAM_TIMEOUT_S = 600


class HealthHandler(RequestHandler):
    """Answers that the relay serves."""

    def get(self) -> None:
        """Answer."""


class RelayHandler(RequestHandler):
    """Sends each chunk of an engine's stream on to the caller."""

    def initialize(self, urls: Iterator[str]) -> None:
        """Take what the route passes."""
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
    """Relay until ended."""
    AsyncHTTPClient.configure(
        'tornado.curl_httpclient.CurlAsyncHTTPClient',
        max_clients=LARGEST_CLIENTS,
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
