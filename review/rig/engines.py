"""Stand-ins of application engines, and the clients' side of a request."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from review.rig.fronts import LOOPBACK

MS_PER_S = 1000
HOST = 'shop.example'
KEY = 'key-of-lakeshore'
ACCOUNT = 'lakeshore'
DEADLINE_MS = 4000
CLIENT_TIMEOUT_S = 6
MAX_CLIENTS = 200


@dataclass(slots=True)
class Run:
    """A request that reached an engine."""

    at_s: float
    engine: str
    request_id: str
    path: str


@dataclass(slots=True)
class Engine:
    """An engine of an application service.

    Attributes:
        leaving: it says so in each of its answers.
        work_s: how long a request takes.
    """

    name: str
    service: str
    zone: str
    runs: list[Run]
    address: str = ''
    leaving: bool = False
    work_s: float = 0.005
    born_ms: int = field(default_factory=lambda: int(time.time() * MS_PER_S))

    def serve(self) -> None:
        """Listen on a free port."""
        sockets = bind_sockets(0, LOOPBACK)
        application = Application(
            [('/(.*)', _RequestHandler, {'engine': self})],
            log_function=_no_log,
        )
        HTTPServer(application).add_sockets(sockets)
        self.address = f'{LOOPBACK}:{sockets[0].getsockname()[1]}'

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the engine's row in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': '1',
            'slots': 12,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': self.born_ms,
            **changes,
        }


class _RequestHandler(RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    async def get(self, _: str) -> None:
        await self.serve()

    async def post(self, _: str) -> None:
        await self.serve()

    async def serve(self) -> None:
        """Run the request, unless it is meant for another engine."""
        engine = self.engine
        request_id = self.request.headers.get('Attempt-Id', '')
        self.set_header('Instance-Id', engine.name)
        self.set_header('Attempt-Id', request_id)
        if engine.leaving:
            self.set_header('Server-Leaving', '1')
        if self.request.headers.get('Expect-Instance') != engine.name:
            self.set_header('Not-Run', '1')
            self.set_status(HTTPStatus.MISDIRECTED_REQUEST)
            return
        engine.runs.append(
            Run(time.monotonic(), engine.name, request_id, self.request.uri)
        )
        await asyncio.sleep(engine.work_s)
        self.set_header('Server-Stamp', f'stamp.{engine.name}')
        await self.finish(json.dumps({'id': request_id, 'by': engine.name}))


@dataclass(slots=True)
class Sent:
    """A request of a client and its answer.

    Attributes:
        status: 0 without an answer.
        reason: the body of an answer that is no success.
    """

    at_s: float
    front: str
    path: str
    request_id: str
    status: int = 0
    reason: str = ''


class Client:
    """Sends requests and keeps what was answered."""

    def __init__(self) -> None:
        self.http = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        self.sent: list[Sent] = []

    async def send(
        self,
        front: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None = None,
    ) -> Sent:
        """Send a POST request; wait for the answer."""
        request_id = secrets.token_hex(8)
        sent = Sent(time.monotonic(), front, path, request_id)
        self.sent.append(sent)
        request = HTTPRequest(
            f'http://{address}{path}',
            'POST',
            headers={
                'Host': HOST,
                'Attempt-Id': request_id,
                'Deadline-Ms': str(DEADLINE_MS),
                'Authorization': f'Bearer {KEY}',
                **(headers or {}),
            },
            body=b'{}',
            request_timeout=CLIENT_TIMEOUT_S,
        )
        try:
            answer = await self.http.fetch(request, raise_error=False)
        except (OSError, HTTPError) as error:
            sent.reason = str(error)
            return sent
        sent.status = answer.code
        if answer.code != HTTPStatus.OK:
            sent.reason = (answer.body or b'').decode(errors='replace')
        return sent


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration of the operator."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': service, 'healthPath': '/healthz'} for service in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': ACCOUNT, 'apiKeys': [KEY]}],
    }


def route(prefix: str, service: str) -> dict[str, Any]:
    """Return a route of requests that may run once."""
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': 'non_idempotent',
        'timeoutMs': DEADLINE_MS,
        'latencyTargetMs': 300,
        'service': service,
        'maxAttempts': 1,
    }


def _no_log(_: RequestHandler) -> None:
    """Drop the access log."""
