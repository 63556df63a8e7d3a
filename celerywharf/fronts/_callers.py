"""The caller's side of a request, on tornado's server."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    ResponseStartLine,
)

from celerywharf.forwarding import Caller

BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class HttpCaller(Caller):
    """Writes to one connection.

    Attributes:
        closing: tells the caller to use another connection from now on.
    """

    def __init__(self, connection: HTTPConnection) -> None:
        self.connection = connection
        self.closing = False
        self.finished = False

    @property
    def over(self) -> bool:
        """Tell whether nothing may be written any more."""
        return self.disconnected or self.finished

    def answer(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Write a whole answer."""
        if self.over:
            return
        self.started = True
        self.finished = True
        written = self._headers(headers)
        if status not in BODILESS_STATUSES:
            written['Content-Length'] = str(len(body))
        self.connection.write_headers(_start_line(status), written, body)
        self.connection.finish()

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write status and headers of an answer that is streamed."""
        if self.over:
            return
        self.started = True
        self.connection.write_headers(
            _start_line(status),
            self._headers(headers),
        )

    def write(self, chunk: bytes) -> None:
        """Write a part of a streamed answer."""
        if not self.over:
            self.connection.write(chunk)

    def end(self) -> None:
        """Complete a streamed answer."""
        if self.over:
            return
        self.finished = True
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection so that the answer looks incomplete."""
        self.finished = True
        self.connection.close()

    def fail(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Write an error of ours."""
        headers = {'Content-Type': 'application/json'}
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.2f}'
        content = {'code': status.name.lower(), 'message': reason}
        body = json.dumps({'error': content}).encode()
        self.answer(status, headers, body)

    def _headers(self, headers: Mapping[str, str]) -> HTTPHeaders:
        written = HTTPHeaders(headers)
        if self.closing:
            written['Connection'] = 'close'
        return written


def _start_line(status: int) -> ResponseStartLine:
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = 'Unknown'
    return ResponseStartLine('HTTP/1.1', status, reason)
