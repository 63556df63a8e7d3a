"""HTTP transport on curl's multi interface, driven by the event loop.

Tornado's curl client is not used: it queues each chunk as a callback, has no
back-pressure and cannot cancel a single transfer.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import io
import math

import pycurl

from celerywharf.adapters._read_budget import ReadBudget, Usage
from celerywharf.adapters._response_head import ResponseHead
from celerywharf.adapters._responses import ResponseCollector, ResponsePool
from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    StreamSink,
    Transfer,
    Transport,
)
from celerywharf.exceptions import ResponseTooLargeError, TransportError
from celerywharf.structures import Verdict

MS_PER_S = 1000
MAX_CONNECTIONS = 4096
# What is read before a pause has an effect.
BUFFER_BYTES = 4096
# Ordinary answers are not measured: lines and small pieces are charged in
# groups, and what is read without any only after a call of curl has taken long.
CHARGED_PIECES = 32
# A piece of this size can hold many events.
LARGE_PIECE_BYTES = 1024
LONG_CALL_S = 0.0005
MEASURING_S = 0.05
# A time-out that fires this much late shows that this process did not run.
LATE_S = 0.1
# The longest transfer that is judged by its progress.
MAX_TRANSFER_S = 15.0
LINE_BREAKS = frozenset('\r\n\0')
ABORT = -1  # returned to curl to end a transfer
NEVER_SENT_CODES = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    )
)


class CurlTransport(Transport):
    """Runs any number of concurrent transfers on one event loop.

    Attributes:
        read_budget: decides which transfers are paused for a while.
        overdue: transfers that have used up their time in this call of curl.
        measuring: ends the time in which all reading is charged; None at other
            times.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)
        self.timer: asyncio.TimerHandle | None = None
        self.transfers: dict[pycurl.Curl, CurlTransfer] = {}
        self.released: set[pycurl.Curl] = set()
        self.handle_count = 0
        self.watched_descriptors: set[int] = set()
        self.response_pool = ResponsePool()
        self.read_budget = ReadBudget()
        self.overdue: list[CurlTransfer] = []
        self.measuring: asyncio.TimerHandle | None = None

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the complete response."""
        sink = ResponseCollector(
            self.loop.create_future(), request, self.response_pool
        )
        transfer = self.stream(request, sink)
        if request.stall_s is not None and request.timeout_s is not None:
            sink.expect_progress(request.timeout_s)
        try:
            return await sink.done
        finally:
            sink.release()
            transfer.cancel()

    def stream(self, request: HttpRequest, sink: StreamSink) -> CurlTransfer:
        """Send a request; ``sink`` receives the response as it arrives."""
        transfer = CurlTransfer(self, request, sink)
        try:
            transfer.configure()
        except (ValueError, pycurl.error) as error:
            # Strings of callers, servers or peers that HTTP cannot carry.
            failure = TransportError(
                f'request cannot be sent: {error}', verdict=Verdict.not_run
            )
            self.loop.call_soon(transfer.finish, failure)
            return transfer
        self.transfers[transfer.curl] = transfer
        self.handle_count += 1
        self.multi.add_handle(transfer.curl)
        return transfer

    def close(self) -> None:
        """Cancel all transfers and close all connections."""
        for transfer in tuple(self.transfers.values()):
            transfer.cancel()
        for curl in tuple(self.released):
            self._remove(curl)
        for timer in (self.timer, self.measuring):
            if timer is not None:
                timer.cancel()
        for descriptor in self.watched_descriptors:
            self.loop.remove_reader(descriptor)
            self.loop.remove_writer(descriptor)
        self.watched_descriptors.clear()
        self.multi.close()

    def release(self, transfer: CurlTransfer) -> None:
        """Remove a transfer from curl; its connection is closed unless idle.

        The removal is deferred, as curl forbids it inside its callbacks.
        """
        if self.transfers.pop(transfer.curl, None) is None:
            return
        self.released.add(transfer.curl)
        self.loop.call_soon(self._remove, transfer.curl)

    def read_on(self, transfer: CurlTransfer) -> None:
        """Make curl read a transfer that was paused."""
        if transfer.curl not in self.transfers:
            return
        self.read_budget.begin()
        # Without a connection there is nothing to resume; if a callback has
        # ended the transfer, curl reports that.
        with contextlib.suppress(pycurl.error):
            transfer.curl.pause(pycurl.PAUSE_CONT)
        self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def charge(self, transfer: CurlTransfer) -> None:
        """Charge a transfer for what was read; pause it if that was much."""
        is_overdue = self.read_budget.charge(transfer.usage)
        if is_overdue and not transfer.overdue:
            transfer.overdue = True
            transfer.suspect = True
            transfer.curl.pause(pycurl.PAUSE_RECV)
            self.overdue.append(transfer)

    def _remove(self, curl: pycurl.Curl) -> None:
        if curl not in self.released:
            return
        self.released.discard(curl)
        self.handle_count -= 1
        self.multi.remove_handle(curl)
        curl.close()

    def _on_socket(
        self,
        event: int,
        descriptor: int,
        _multi: pycurl.CurlMulti,
        _data: bytes,
    ) -> None:
        if descriptor in self.watched_descriptors:
            self.loop.remove_reader(descriptor)
            self.loop.remove_writer(descriptor)
            self.watched_descriptors.discard(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        self.watched_descriptors.add(descriptor)
        if event & pycurl.POLL_IN:
            self.loop.add_reader(
                descriptor,
                self._socket_action,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self.loop.add_writer(
                descriptor,
                self._socket_action,
                descriptor,
                pycurl.CSELECT_OUT,
            )

    def _on_timer(self, milliseconds: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if milliseconds >= 0:
            self.timer = self.loop.call_later(
                milliseconds / MS_PER_S,
                self._socket_action,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def _socket_action(self, descriptor: int, flags: int) -> None:
        self.read_budget.begin()
        _, active = self.multi.socket_action(descriptor, flags)
        if self.read_budget.since_begin_s() > LONG_CALL_S:
            self._measure_all()
        for transfer in self.overdue:
            transfer.rest(self.read_budget.settle(transfer.usage))
        self.overdue = []
        if active < self.handle_count:
            self._finish_completed()

    def _measure_all(self) -> None:
        if self.measuring is None:
            self.measuring = self.loop.call_later(
                MEASURING_S, self._end_measuring
            )
            for transfer in self.transfers.values():
                transfer.measure(measured=True)

    def _end_measuring(self) -> None:
        self.measuring = None
        for transfer in self.transfers.values():
            transfer.measure(measured=transfer.suspect)

    def _finish_completed(self) -> None:
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self.multi.info_read()
            for curl in succeeded:
                self._finish(curl, None)
            for curl, code, message in failed:
                self._finish(curl, (code, message))

    def _finish(
        self, curl: pycurl.Curl, failure: tuple[int, str] | None
    ) -> None:
        transfer = self.transfers.get(curl)
        if transfer is None:
            return
        error = failure and transfer.error(*failure)
        self.release(transfer)
        transfer.finish(error)


class CurlTransfer(Transfer):
    """A transfer on a curl handle.

    Attributes:
        closed: cancelled or ended; the sink receives nothing more.
        head: what has been received of the head of the response.
        held: the sink wants nothing until it resumes the transfer.
        overdue: paused because reading it took too much time.
        usage: the time that reading it took.
        pieces: number of lines and pieces received.
        measured: all reading is charged, with content or not.
        suspect: it was overdue before.
    """

    def __init__(
        self,
        transport: CurlTransport,
        request: HttpRequest,
        sink: StreamSink,
    ) -> None:
        self.transport = transport
        self.sink = sink
        self.request = request
        self.head = ResponseHead()
        self.closed = False
        self.held = False
        self.overdue = False
        self.usage = Usage()
        self.pieces = 0
        self.measured = False
        self.suspect = False
        self.curl = pycurl.Curl()

    def cancel(self) -> None:
        """Close the connection; the sink receives nothing more."""
        self.closed = True
        self.transport.release(self)

    def pause(self) -> None:
        """Stop reading from the socket until ``resume``."""
        self.held = True
        if self.curl in self.transport.transfers:
            # curl cannot pause a transfer that has no connection yet; then
            # ``_on_header`` does.
            with contextlib.suppress(pycurl.error):
                self.curl.pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Continue reading after ``pause``."""
        self.held = False
        if not self.overdue:
            self.transport.read_on(self)

    def rest(self, rest_s: float) -> None:
        """Let others be read for a time, in seconds."""
        if self.on_rest is not None:
            self.on_rest(rest_s)
        self.transport.loop.call_later(rest_s, self.end_rest)

    def end_rest(self) -> None:
        """Continue reading after a time in which others were read."""
        self.overdue = False
        if not self.held:
            self.transport.read_on(self)

    def measure(self, *, measured: bool) -> None:
        """Begin or end to charge for all reading, with content or not."""
        if self.measured is not measured:
            self.measured = measured
            self.curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
            self.curl.setopt(pycurl.NOPROGRESS, 0 if measured else 1)

    def finish(self, error: TransportError | None) -> None:
        """Notify the sink of the end, unless the transfer is closed."""
        if self.closed:
            return
        self.closed = True
        if error is None:
            error = self._incomplete_reason()
        self.sink.on_end(error)

    def error(self, code: int, message: str) -> TransportError:
        """Convert a failure of curl to an exception with its verdict."""
        if self.head.is_too_large():
            return ResponseTooLargeError('response headers exceed the limit')
        if self.head.is_malformed:
            return TransportError('malformed response head')
        sent = self.curl.getinfo(pycurl.REQUEST_SIZE)
        verdict = Verdict.may_have_run
        if code in NEVER_SENT_CODES or not sent:
            verdict = Verdict.not_run
        error = TransportError(message or f'curl error {code}', verdict=verdict)
        error.answer_begun = self.head.is_complete
        error.late = code == pycurl.E_OPERATION_TIMEDOUT and self._is_late()
        return error

    def _incomplete_reason(self) -> TransportError | None:
        """Return why a response that curl takes for complete is not.

        None if it is complete.

        To curl a connection that closes inside a head ends the response, and so
        does one that closes while the request is being written.
        """
        if self.request.connect_only:
            return None
        if not self.head.is_complete:
            return TransportError('response without a complete head')
        ends_with_connection = self.head.ends_with_connection(
            self.request.method
        )
        if ends_with_connection and not self._is_written():
            return TransportError('response ended before the request')
        return None

    def _is_written(self) -> bool:
        """Return whether the whole request has been written."""
        size_bytes = len(self.request.body or b'')
        return self.curl.getinfo(pycurl.SIZE_UPLOAD_T) >= size_bytes

    def _is_late(self) -> bool:
        """Return whether a time-out has fired much later than it was due."""
        request = self.request
        limit_s = request.timeout_s or 0
        if not self.curl.getinfo(pycurl.CONNECT_TIME):
            limit_s = min(request.connect_timeout_s, limit_s or math.inf)
        return self.curl.getinfo(pycurl.TOTAL_TIME) > limit_s + LATE_S

    def configure(self) -> None:
        """Pass the request to curl.

        Raises:
            ValueError: it has strings that cannot be sent.
            pycurl.error: curl does not accept an option.
        """
        request = self.request
        curl = self.curl
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.CUSTOMREQUEST, _encode(request.method))
        if request.target is not None:
            curl.setopt(pycurl.REQUEST_TARGET, _encode(request.target))
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        headers = {'Expect': '', **request.headers}
        curl.setopt(
            pycurl.HTTPHEADER,
            [_encode(f'{name}: {value}') for name, value in headers.items()],
        )
        self._set_timeouts(curl)
        self._set_body(curl)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_write)
        curl.setopt(pycurl.BUFFERSIZE, BUFFER_BYTES)
        if request.connect_only:
            curl.setopt(pycurl.CONNECT_ONLY, 1)
        if request.fresh_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _set_timeouts(self, curl: pycurl.Curl) -> None:
        request = self.request
        connect_ms = int(request.connect_timeout_s * MS_PER_S)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, connect_ms))
        if request.timeout_s is not None:
            timeout_s = request.timeout_s
            if request.stall_s is not None:
                timeout_s += MAX_TRANSFER_S
            timeout_ms = int(timeout_s * MS_PER_S)
            curl.setopt(pycurl.TIMEOUT_MS, max(1, timeout_ms))

    def _set_body(self, curl: pycurl.Curl) -> None:
        body = self.request.body
        if self.request.method == 'HEAD':
            curl.setopt(pycurl.NOBODY, 1)
        if body is None:
            return
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(body))
        curl.setopt(pycurl.READFUNCTION, _BodyReader(self.request).read)
        curl.setopt(pycurl.CUSTOMREQUEST, _encode(self.request.method))

    def _on_header(self, line: bytes) -> int | None:
        head = self.head
        if self.held and not head.line_count:
            return pycurl.WRITEFUNC_PAUSE
        head.count(line)
        if head.is_too_large():
            return ABORT
        self._charge()
        if head.is_complete:
            return None
        head.add(line)
        if head.is_malformed:
            return ABORT
        if head.is_complete:
            self._notify(
                functools.partial(
                    self.sink.on_headers, head.status, head.headers
                )
            )
        return None

    def _on_write(self, chunk: bytes) -> None:
        if not self.closed:
            self.sink.on_chunk(chunk)
            self._charge(len(chunk))

    def _charge(self, size_bytes: int = 0) -> None:
        self.pieces += 1
        is_due = not self.pieces % CHARGED_PIECES
        if is_due or self.measured or size_bytes >= LARGE_PIECE_BYTES:
            self.transport.charge(self)

    def _on_progress(self, *_: int) -> None:
        """Called each time that curl has read a transfer that is measured."""
        if not self.closed:
            self.transport.charge(self)

    def _notify(self, call) -> None:
        if not self.closed:
            call()


def _encode(text: str) -> bytes:
    """Return the bytes of a line of a request's head.

    Raises:
        ValueError: it is more than one line or has other characters than
            Latin-1, as which the bytes of callers are decoded.
    """
    if not LINE_BREAKS.isdisjoint(text):
        raise ValueError('line break or NUL byte in the head')
    return text.encode('latin-1')


class _BodyReader:
    """Supplies a request body to curl, unless the guard forbids it."""

    def __init__(self, request: HttpRequest) -> None:
        self.content = io.BytesIO(request.body)
        self.guard = request.guard

    def read(self, size: int) -> bytes | int:
        """Return the next bytes to send; abort if the guard forbids it."""
        if self.guard is None or self.guard():
            return self.content.read(size)
        return pycurl.READFUNC_ABORT
