"""Writes answers to callers through tornado's HTTP server."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    ResponseStartLine,
)

from celerywharf.adapters.transports import FIELD_SEPARATOR
from celerywharf.forwarding import Caller
from celerywharf.units import SMALL_MESSAGE_BYTES

# A host that found no backend server for a request is likely to have capacity
# again by then.
RETRY_AFTER_S = 0.3
MAX_BACKLOG_BYTES = 4 * SMALL_MESSAGE_BYTES
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class HttpCaller(Caller):
    """Writes the answer to one request to its connection.

    Attributes:
        close_after_answer: send ``Connection: close`` with the answer, so that
            the caller's next request uses another connection.
        finished: the answer is complete or was aborted.
        backlog_bytes: written since the connection last had nothing to send.
    """

    def __init__(self, connection: HTTPConnection) -> None:
        self.connection = connection
        self.close_after_answer = False
        self.finished = False
        self.backlog_bytes = 0

    @property
    def closed(self) -> bool:
        """Return whether nothing more may be written."""
        return self.disconnected or self.finished

    def answer(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Write a complete answer."""
        if self.closed:
            return
        self.started = True
        self.finished = True
        http_headers = self._headers(headers)
        if status not in BODILESS_STATUSES:
            http_headers['Content-Length'] = str(len(body))
        self.connection.write_headers(_start_line(status), http_headers, body)
        self.connection.finish()

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write status and headers of a streamed answer."""
        if self.closed:
            return
        self.started = True
        self.connection.write_headers(
            _start_line(status),
            self._headers(headers),
        )

    def write(self, chunk: bytes) -> None:
        """Write a chunk of a streamed answer."""
        if self.closed:
            return
        written = self.connection.write(chunk)
        if written.done():
            return
        self.backlog_bytes += len(chunk)
        self.congested = self.backlog_bytes > MAX_BACKLOG_BYTES
        # A later write replaces this future, so only the last one completes.
        written.add_done_callback(self._sent)

    def end(self) -> None:
        """Complete a streamed answer."""
        if self.closed:
            return
        self.finished = True
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated answer."""
        self.finished = True
        self.connection.close()

    def fail(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Write an error of this host as JSON."""
        headers = {'Content-Type': 'application/json'}
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = retry_after_s or RETRY_AFTER_S
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.2f}'
        content = {'code': status.name.lower(), 'message': reason}
        body = json.dumps({'error': content}).encode()
        self.answer(status, headers, body)

    def _sent(self, written: asyncio.Future[None]) -> None:
        if not written.cancelled():
            written.exception()
        self.backlog_bytes = 0
        self.congested = False
        if self.on_drained is not None:
            self.on_drained()

    def _headers(self, headers: Mapping[str, str]) -> HTTPHeaders:
        http_headers = HTTPHeaders(headers)
        for name, text in headers.items():
            if FIELD_SEPARATOR in text:
                http_headers.pop(name)
                for line in text.split(FIELD_SEPARATOR):
                    http_headers.add(name, line)
        if self.close_after_answer:
            http_headers['Connection'] = 'close'
        return http_headers


def _start_line(status: int) -> ResponseStartLine:
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = 'Unknown'
    return ResponseStartLine('HTTP/1.1', status, reason)
