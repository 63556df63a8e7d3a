"""Receives callers' requests and forwards the admitted ones."""

from __future__ import annotations

import asyncio
import logging
import math
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
)

from celerywharf.forwarding import (
    Forwarder,
    ForwardingContext,
    IncomingRequest,
)
from celerywharf.fronts._admission import (
    AdmissionController,
    Admitted,
    Denied,
)
from celerywharf.fronts._callers import HttpCaller
from celerywharf.peers import Relay
from celerywharf.platform import RequestHeaders, read_request_headers
from celerywharf.waiting import spread_retry_after_s

logger = logging.getLogger(__name__)

STOPS = 'this host is leaving'


class Gateway(HTTPServerConnectionDelegate):
    """Serves the connections of all callers.

    Attributes:
        readers: the reader of the current or next request of each open
            connection.
    """

    def __init__(
        self,
        admission: AdmissionController,
        forwarder: Forwarder,
    ) -> None:
        self.admission = admission
        self.forwarder = forwarder
        self.readers: dict[object, RequestReader] = {}

    @property
    def context(self) -> ForwardingContext:
        """Return the components that forwarding depends on."""
        return self.forwarder.context

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        reader = RequestReader(self, request_conn)
        self.readers[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.readers.pop(server_conn, None)

    def now(self) -> float:
        """Return the current time on a monotonic clock, in seconds."""
        return self.context.timers.now()

    def close_idle(self) -> None:
        """Close connections on which no request has begun."""
        for reader in tuple(self.readers.values()):
            if reader.idle:
                reader.close()

    def fail_open_requests(self) -> int:
        """Answer all requests in progress with an error.

        Returns:
            How many there were.
        """
        active = [reader for reader in self.readers.values() if not reader.idle]
        for reader in active:
            reader.fail()
        return len(active)

    def count_active(self) -> int:
        """Return the number of requests in progress."""
        return sum(not reader.idle for reader in self.readers.values())


class RequestReader(HTTPMessageDelegate):
    """Reads one request and serves it in its own task.

    Attributes:
        idle: no headers have arrived.
        arrived_s: when the headers arrived, on a monotonic clock.
        task: serves the request; None until the request is admitted.
        relay: what the host that passed the request on tells of it; None if it
            comes from its caller.
    """

    caller_class = HttpCaller

    def __init__(self, gateway: Gateway, connection: HTTPConnection) -> None:
        self.gateway = gateway
        self.connection = connection
        self.caller = self.caller_class(connection)
        self.relay: Relay | None = None
        self.idle = True
        self.start_line: RequestStartLine | None = None
        self.headers: RequestHeaders | None = None
        self.host = ''
        self.body = bytearray()
        self.has_body = False
        self.arrived_s: float = 0
        self.task: asyncio.Task | None = None

    def close(self) -> None:
        """Close the connection; a request arriving meanwhile is dropped."""
        self.caller.disconnected = True
        self.connection.close()

    def fail(self) -> None:
        """End a request in progress, because this host stops.

        An answer that is complete may still be on its way to a slow caller.
        """
        if self.caller.closed:
            return
        self.caller.close_after_answer = True
        if self.task is None:
            self.caller.fail(HTTPStatus.SERVICE_UNAVAILABLE, STOPS)
            return
        if self.caller.started:
            self.caller.abort()
        else:
            reason = f'{STOPS}; the request may have run'
            self.caller.fail(HTTPStatus.BAD_GATEWAY, reason)
        self.task.cancel()

    def headers_received(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Check the headers; refuse malformed headers or too long a body."""
        self.idle = False
        self.arrived_s = self.gateway.now()
        self.start_line = start_line
        self.host = headers.get('Host', '').partition(':')[0].lower()
        self.has_body = (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        self.caller.close_after_answer = self.gateway.admission.draining
        try:
            self.headers = read_request_headers(headers.get_all())
        except ValueError as error:
            self._reject_invalid(
                HTTPStatus.BAD_REQUEST,
                f'malformed header: {error}',
            )
            return
        limits = self.gateway.admission.limits()
        length = headers.get('Content-Length', '0')
        if limits and length.isdigit() and int(length) > limits.body_bytes:
            self._reject_invalid(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body too large',
            )

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body; refuse a body that is too large."""
        self.body += chunk
        limits = self.gateway.admission.limits()
        if limits and len(self.body) > limits.body_bytes:
            self._reject_invalid(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body too large',
            )

    def finish(self) -> None:
        """Serve the complete request in a task, or refuse it."""
        if self.caller.closed:
            return
        self.connection.set_close_callback(self.on_connection_close)
        self.caller.close_after_answer = self.gateway.admission.draining
        admitted = self.admit()
        if isinstance(admitted, Denied):
            self._deny(admitted)
            return
        request = IncomingRequest(
            method=self.start_line.method,
            host=self.host,
            target=self.start_line.path,
            body=bytes(self.body) if self.has_body else None,
            headers=self.headers,
            route=admitted.route,
            account=admitted.account,
            arrived_s=self.arrived_s,
            relay=self.relay,
        )
        self.task = asyncio.get_running_loop().create_task(self._serve(request))

    def admit(self) -> Admitted | Denied:
        """Return the route of the request, or why it is refused."""
        return self.gateway.admission.admit(
            self.start_line.path, self.host, self.headers
        )

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.caller.disconnected = True
        if self.task is not None:
            self.task.cancel()

    async def _serve(self, request: IncomingRequest) -> None:
        try:
            await self.gateway.forwarder.serve(request, self.caller)
        except asyncio.CancelledError:
            logger.info(
                'caller gone' if self.caller.disconnected else 'broken off',
                extra={'request_id': request.headers.request_id},
            )
            raise
        except Exception:
            logger.exception(
                'request failed',
                extra={'request_id': request.headers.request_id},
            )
            self._send_failure()

    def _send_failure(self) -> None:
        if self.caller.started:
            self.caller.abort()
        else:
            self.caller.fail(
                HTTPStatus.BAD_GATEWAY,
                'internal error; the request may have run',
            )

    def _deny(self, denied: Denied) -> None:
        metrics = self.gateway.context.metrics
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
        self.caller.close_after_answer = (
            self.caller.close_after_answer or denied.close_connection
        )
        self.caller.fail(
            denied.status, denied.reason, self._retry_after_s(denied)
        )

    def _retry_after_s(self, denied: Denied) -> float | None:
        """Return when the caller should retry; None if it should not."""
        if denied.retry_after_s is None:
            return None
        left_s = self.headers.deadline_s
        return spread_retry_after_s(
            denied.retry_after_s,
            math.inf if left_s is None else left_s,
            self.gateway.context.random,
        )

    def _reject_invalid(self, status: HTTPStatus, reason: str) -> None:
        if self.caller.finished:
            return
        self.caller.close_after_answer = True
        self.caller.fail(status, reason)
