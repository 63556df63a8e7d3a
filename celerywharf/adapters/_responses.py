"""Collects complete responses within limits on memory."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from celerywharf.adapters._body_buffer import BodyBuffer
from celerywharf.adapters.transports import HttpRequest, HttpResponse
from celerywharf.exceptions import ResponseTooLargeError, TransportError
from celerywharf.units import MEBIBYTE

# Answers of 50 servers that never end stay within it together.
MAX_POOLED_BYTES = 8 * MEBIBYTE


class ResponsePool:
    """Limits the total size of responses that are being received.

    Servers that send without end would otherwise take the per-response limit
    times their number.  The largest response is cut first, so that ordinary
    ones complete while others grow without end.

    Attributes:
        collectors: unfinished responses that count against the limit.
        total_bytes: what they have received.
    """

    def __init__(self, limit_bytes: int = MAX_POOLED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.collectors: set[ResponseCollector] = set()
        self.total_bytes = 0

    def received(self, collector: ResponseCollector, count: int) -> None:
        """Count received bytes; cut the largest responses above the limit."""
        self.collectors.add(collector)
        self.total_bytes += count
        while self.total_bytes > self.limit_bytes:
            largest = max(self.collectors, key=lambda each: each.size_bytes)
            largest.cut('too many unfinished responses')

    def finished(self, collector: ResponseCollector) -> None:
        """Stop counting a response."""
        if collector in self.collectors:
            self.collectors.discard(collector)
            self.total_bytes -= collector.size_bytes


class ResponseCollector:
    """Collects a complete response for ``Transport.fetch``.

    Attributes:
        done: future of the response.
        body: what has been received.
        progressed_s: when some of the body was received last, on the clock of
            the event loop; None before the first.
        check: checks whether the body makes progress; None without a limit.
    """

    def __init__(
        self,
        done: asyncio.Future[HttpResponse],
        request: HttpRequest,
        pool: ResponsePool,
    ) -> None:
        self.done = done
        self.request = request
        self.max_body_bytes = request.max_body_bytes
        self.pool = pool if request.pooled else None
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.body = BodyBuffer()
        self.progressed_s: float | None = None
        self.check: asyncio.TimerHandle | None = None

    @property
    def size_bytes(self) -> int:
        """Return the size of the body received so far."""
        return self.body.size_bytes

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Store status and headers."""
        self.status = status
        self.headers = headers
        if self.request.on_headers is not None:
            self.request.on_headers(status, headers)

    def on_chunk(self, chunk: bytes) -> None:
        """Store a part of the body, or fail if the body is too large."""
        if self.done.done():
            return
        self.body.append(chunk)
        if self.request.stall_s is not None:
            self.progressed_s = self.done.get_loop().time()
        if self.request.on_progress is not None:
            self.request.on_progress(self.size_bytes)
        if self.pool is not None:
            self.pool.received(self, len(chunk))
        if self.size_bytes > self.max_body_bytes:
            self.cut(f'response exceeds {self.max_body_bytes} bytes')

    def on_end(self, error: TransportError | None) -> None:
        """Complete the future with the response or the error."""
        if self.done.done():
            return
        if error is not None:
            self._fail(error)
            return
        body = self.body.content()
        self.release()
        self.done.set_result(HttpResponse(self.status, self.headers, body))

    def cut(self, reason: str) -> None:
        """Fail because the response takes too much memory."""
        self._fail(ResponseTooLargeError(reason))

    def expect_progress(self, timeout_s: float) -> None:
        """Fail if the body has not begun by then, or if it stops coming."""
        loop = self.done.get_loop()
        self.check = loop.call_later(timeout_s, self._check_progress)

    def release(self) -> None:
        """Free what has been received."""
        if self.pool is not None:
            self.pool.finished(self)
        if self.check is not None:
            self.check.cancel()
        self.body.clear()

    def _check_progress(self) -> None:
        if self.progressed_s is not None:
            stall_s = self.request.stall_s or 0
            left_s = self.progressed_s + stall_s - self.done.get_loop().time()
            if left_s > 0:
                self.expect_progress(left_s)
                return
        self._fail(TransportError('the answer has stopped coming'))

    def _fail(self, error: TransportError) -> None:
        self.release()
        if not self.done.done():
            self.done.set_exception(error)
