"""Reads callers' requests and decides who may pass."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from celerywharf.forwarding import Forwarder, IncomingRequest
from celerywharf.fronts._admittance import Admittance, Denied
from celerywharf.fronts._callers import HttpCaller
from celerywharf.platform import RequestHeaders, read_request_headers

logger = logging.getLogger(__name__)


class Edge(HTTPServerConnectionDelegate):
    """Serves all connections of callers.

    Attributes:
        readers: one for each connection, waiting or at work.
    """

    def __init__(self, admittance: Admittance, forwarder: Forwarder) -> None:
        self.admittance = admittance
        self.forwarder = forwarder
        self.readers: dict[object, RequestReader] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return what reads the next request of a connection."""
        reader = RequestReader(self, request_conn)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self.readers.pop(server_conn, None)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.forwarder.context.timers.now()

    def close_idle(self) -> None:
        """Close connections on which no request has begun."""
        for reader in tuple(self.readers.values()):
            if reader.idle:
                reader.abandon()

    def busy(self) -> int:
        """Return how many requests are under way."""
        return sum(not reader.idle for reader in self.readers.values())


class RequestReader(HTTPMessageDelegate):
    """Reads one request and has it served by a task of its own."""

    def __init__(self, edge: Edge, connection: HTTPConnection) -> None:
        self.edge = edge
        self.connection = connection
        self.caller = HttpCaller(connection)
        self.idle = True
        self.start_line: RequestStartLine | None = None
        self.headers: RequestHeaders | None = None
        self.host = ''
        self.body = bytearray()
        self.has_body = False
        self.arrived_s: float = 0
        self.task: asyncio.Task | None = None

    def abandon(self) -> None:
        """Close the connection; what crosses the close is not forwarded."""
        self.caller.disconnected = True
        self.connection.close()

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the headers."""
        self.idle = False
        self.arrived_s = self.edge.now()
        self.start_line = start_line
        self.host = headers.get('Host', '').partition(':')[0].lower()
        self.has_body = (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        self.caller.closing = self.edge.admittance.leaving
        try:
            self.headers = read_request_headers(headers.get_all())
        except ValueError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, f'malformed header: {error}')
            return
        limits = self.edge.admittance.limits()
        length = headers.get('Content-Length', '0')
        if limits and length.isdigit() and int(length) > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')

    def data_received(self, chunk: bytes) -> None:
        """Gather the body."""
        self.body += chunk
        limits = self.edge.admittance.limits()
        if limits and len(self.body) > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')

    def finish(self) -> None:
        """Serve the request."""
        if self.caller.over:
            return
        self.connection.set_close_callback(self.on_connection_close)
        self.caller.closing = self.edge.admittance.leaving
        admitted = self.edge.admittance.admit(
            self.start_line.path,
            self.host,
            self.headers,
        )
        if isinstance(admitted, Denied):
            self._deny(admitted)
            return
        request = IncomingRequest(
            method=self.start_line.method,
            target=self.start_line.path,
            body=bytes(self.body) if self.has_body else None,
            headers=self.headers,
            route=admitted.route,
            account=admitted.account,
            arrived_s=self.arrived_s,
        )
        self.task = asyncio.get_running_loop().create_task(self._serve(request))

    def on_connection_close(self) -> None:
        """Stop the work of a caller that has gone."""
        self.caller.disconnected = True
        if self.task is not None:
            self.task.cancel()

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            await self.edge.forwarder.serve(request, self.caller)
        except asyncio.CancelledError:
            logger.info(
                'caller gone',
                extra={'request_id': request.headers.request_id},
            )
            raise
        except Exception:
            logger.exception(
                'request failed',
                extra={'request_id': request.headers.request_id},
            )
            self._drop()

    def _drop(self) -> None:
        if self.caller.started:
            self.caller.abort()
        else:
            self.caller.fail(
                HTTPStatus.BAD_GATEWAY,
                'fault inside the host; the request may have run',
            )

    def _deny(self, denied: Denied) -> None:
        metrics = self.edge.forwarder.context.metrics
        metrics.count('denied', status=str(int(denied.status)))
        logger.info(
            'request refused',
            extra={
                'request_id': self.headers.request_id,
                'status': int(denied.status),
                'reason': denied.reason,
                'configuration': denied.version,
                'age_s': denied.age_s,
            },
        )
        self.caller.closing = self.caller.closing or denied.elsewhere
        self.caller.fail(denied.status, denied.reason, denied.retry_after_s)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self.caller.finished:
            return
        self.caller.closing = True
        self.caller.fail(status, reason)
