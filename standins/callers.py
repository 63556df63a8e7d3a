"""A caller of generations that reconnects until it has the complete text.

It records each token with epoch and offset, for `standins.checking`, and the
time of arrival, for benches.  Times are monotonic seconds.
"""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus, client
from typing import Any

from standins.checking import Received, ReceivedToken
from standins.serving import split_address

READ_TIMEOUT_S = 1.5
CONNECT_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 0.5
CALLER_TIMEOUT_S = 30.0
MIN_SOCKET_TIMEOUT_S = 0.01
RECEIVE_BYTES = 65536
TOKEN_EVENT = b'"finish_reason":null'


@dataclass(slots=True)
class CallerOptions:
    """What a caller requests, and how it reads.

    Attributes:
        body: JSON body of the POST.
        headers: headers of each call.
        addresses: ``ip:port`` of hosts, used in rotation; the first gets the
            POST.
        key: Idempotency-Key, empty to send none.
        read_timeout_s: seconds without data after which it reconnects.
        reads: False to stop reading after the headers.
    """

    body: Mapping[str, Any]
    headers: Mapping[str, str]
    addresses: Sequence[str]
    key: str = ''
    read_timeout_s: float = READ_TIMEOUT_S
    reads: bool = True


@dataclass(slots=True)
class Reconnect:
    """A lost connection and its recovery.

    Attributes:
        lost_s: when the loss was noticed.
        first_s: when the next token arrived, None before.
    """

    lost_s: float
    first_s: float | None = None


@dataclass(slots=True)
class CallHistory:
    """What happened to a caller.

    Attributes:
        received: tokens, in the form that `standins.checking` takes.
        moments: time of arrival of each token.
        reconnects: connections lost after the first token.
        reason: finish reason, empty before the end.
        error: code of the final error, empty without one.
        statuses: HTTP statuses of all answers.
    """

    received: Received = field(default_factory=lambda: Received(''))
    moments: list[float] = field(default_factory=list)
    reconnects: list[Reconnect] = field(default_factory=list)
    reason: str = ''
    error: str = ''
    statuses: list[int] = field(default_factory=list)


class Caller(threading.Thread):
    """Reads one generation until its end, a final error or a time-out.

    Attributes:
        history: what happened so far.
        abandoned: open sockets of connections on which the read timed out.
    """

    def __init__(self, options: CallerOptions) -> None:
        super().__init__(daemon=True)
        self.options = options
        self.history = CallHistory()
        self.abandoned: list[socket.socket] = []
        self.last_id = ''
        self.address_index = 0
        self.progress = threading.Condition()
        self.leaving = False
        self.stopped = threading.Event()
        self.socket: socket.socket | None = None

    def run(self) -> None:
        """Call, and reconnect until the generation ends or time is up."""
        deadline = time.monotonic() + CALLER_TIMEOUT_S
        while not self._is_finished() and time.monotonic() < deadline:
            wait_s = self._call()
            if self._is_finished():
                break
            self.address_index += 1
            time.sleep(wait_s)
        with self.progress:
            self.progress.notify_all()

    def wait_for(
        self, tokens: int, timeout_s: float = CALLER_TIMEOUT_S
    ) -> None:
        """Wait until at least that many tokens have arrived.

        Raises:
            TimeoutError: the time is up, or the caller ended before.
        """
        history = self.history
        with self.progress:
            arrived = self.progress.wait_for(
                lambda: len(history.moments) >= tokens or self._is_finished(),
                timeout_s,
            )
        if not arrived or len(history.moments) < tokens:
            raise TimeoutError(
                f'{len(history.moments)} of {tokens} tokens arrived'
            )

    def leave(self) -> None:
        """Close the connection and do not reconnect."""
        self.leaving = True
        self.stopped.set()
        self.drop_connection()

    def drop_connection(self) -> None:
        """Close the connection, to reconnect at the next host."""
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def late_tokens(self, timeout_s: float) -> int:
        """Count tokens that arrive on abandoned connections until a time-out.

        The connections are closed.
        """
        deadline = time.monotonic() + timeout_s
        drained = [_drain(abandoned, deadline) for abandoned in self.abandoned]
        return b''.join(drained).count(TOKEN_EVENT)

    def _is_finished(self) -> bool:
        history = self.history
        return bool(history.reason or history.error or self.leaving)

    def _call(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        options = self.options
        address = options.addresses[self.address_index % len(options.addresses)]
        host, port = split_address(address)
        connection = client.HTTPConnection(host, port, options.read_timeout_s)
        try:
            connection.connect()
        except OSError:
            return CONNECT_RETRY_WAIT_S
        if not options.reads:
            size = socket.SO_RCVBUF
            connection.sock.setsockopt(socket.SOL_SOCKET, size, RECEIVE_BYTES)
        # A failed response closes its socket; the duplicate stays open, so
        # that late tokens can be counted.
        self.socket = connection.sock.dup()
        try:
            return self._exchange(connection)
        except TimeoutError:
            self.abandoned.append(self.socket)
        except (OSError, client.HTTPException):
            pass  # noqa: WPS420
        finally:
            self._close(connection)
        self._record_loss()
        return 0

    def _close(self, connection: client.HTTPConnection) -> None:
        connection.close()
        if self.socket not in self.abandoned:
            self.socket.close()

    def _record_loss(self) -> None:
        lost = Reconnect(time.monotonic())
        if self.history.moments and not self._is_finished():
            self.history.reconnects.append(lost)

    def _exchange(self, connection: client.HTTPConnection) -> float:
        self._request(connection)
        response = connection.getresponse()
        self.history.statuses.append(response.status)
        if response.status != HTTPStatus.OK:
            return self._handle_refusal(response.status, response.read())
        generation = response.headers['Generation-Id']
        self.history.received.generation = generation
        with response:
            self._read(response)
        if not self._is_finished():
            self._record_loss()
        return 0

    def _request(self, connection: client.HTTPConnection) -> None:
        headers = dict(self.options.headers)
        generation = self.history.received.generation
        if generation:
            if self.last_id:
                headers['Last-Event-ID'] = self.last_id
            path = f'/v1/generations/{generation}'
            connection.request('GET', path, headers=headers)
            return
        if self.options.key:
            headers['Idempotency-Key'] = self.options.key
        body = json.dumps(self.options.body)
        connection.request('POST', '/v1/completions', body, headers)

    def _handle_refusal(self, status: int, content: bytes) -> float:
        error = json.loads(content)['error']
        wait_s = error.get('retry_after_s')
        if wait_s is None:
            self.history.error = error['code']
            return 0
        return min(wait_s, MAX_RETRY_WAIT_S)

    def _read(self, response: client.HTTPResponse) -> None:
        if not self.options.reads:
            self.stopped.wait(CALLER_TIMEOUT_S)
        kind = ''
        while not self._is_finished():
            line = response.readline()
            if not line:
                return
            name, _, content = line.decode().rstrip('\n').partition(': ')
            if name == 'event':
                kind = content
            elif name == 'id':
                self.last_id = content
            elif name == 'data':
                self._handle_event(kind, content)

    def _handle_event(self, kind: str, content: str) -> None:
        if content == '[DONE]':
            return
        event = json.loads(content)
        if kind == 'error':
            # An error with `retry_after_s` is not final: the caller reconnects.
            if event['error'].get('retry_after_s') is None:
                self.history.error = event['error']['code']
            return
        choice = event['choices'][0]
        _, epoch, offset = self.last_id.rsplit('.', 2)
        if choice['finish_reason']:
            self.history.received.total = int(offset)
            self.history.reason = choice['finish_reason']
            return
        self._record_token(int(epoch), int(offset) - 1, choice['text'])

    def _record_token(self, epoch: int, offset: int, token: str) -> None:
        now = time.monotonic()
        history = self.history
        if history.reconnects and history.reconnects[-1].first_s is None:
            history.reconnects[-1].first_s = now
        with self.progress:
            history.received.tokens.append(ReceivedToken(epoch, offset, token))
            history.moments.append(now)
            self.progress.notify_all()


def _drain(connection: socket.socket, deadline: float) -> bytes:
    arrived = b''
    while time.monotonic() < deadline:
        connection.settimeout(
            max(MIN_SOCKET_TIMEOUT_S, deadline - time.monotonic())
        )
        try:
            part = connection.recv(RECEIVE_BYTES)
        except OSError:
            break
        if not part:
            break
        arrived += part
    connection.close()
    return arrived
