"""A caller of generations that reconnects until it has the whole text.

It keeps what it received with epochs and offsets, for `standins.checking`,
and when it received it, for benches.  Times are monotonic seconds.
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

PATIENCE_S = 1.5
REFUSED_WAIT_S = 0.05
LONGEST_WAIT_S = 0.5
GIVE_UP_S = 30.0
LEAST_WAIT_S = 0.01
DRAIN_BYTES = 65536
TOKEN_EVENT = b'"finish_reason":null'


@dataclass(slots=True)
class Wanted:
    """What a caller asks for.

    Attributes:
        body: of the POST.
        headers: of each call.
        addresses: hosts, tried in turn; the first one gets the POST.
        key: Idempotency-Key, empty to send none.
        patience_s: silence after which it reconnects.
        reads: False to stop reading after the headers.
    """

    body: Mapping[str, Any]
    headers: Mapping[str, str]
    addresses: Sequence[str]
    key: str = ''
    patience_s: float = PATIENCE_S
    reads: bool = True


@dataclass(slots=True)
class Reconnect:
    """A lost connection and what followed.

    Attributes:
        lost_s: when the loss showed.
        first_s: when the next token came, None before.
    """

    lost_s: float
    first_s: float | None = None


@dataclass(slots=True)
class Story:
    """What happened to a caller.

    Attributes:
        received: tokens, as the checker wants them.
        moments: when each of them came.
        reconnects: lost connections after the first token.
        reason: finish reason, empty before the end.
        error: code of the error that ended it, empty without one.
        statuses: of all answers.
    """

    received: Received = field(default_factory=lambda: Received(''))
    moments: list[float] = field(default_factory=list)
    reconnects: list[Reconnect] = field(default_factory=list)
    reason: str = ''
    error: str = ''
    statuses: list[int] = field(default_factory=list)


class Caller(threading.Thread):
    """Reads one generation to its end, an explicit error or its patience.

    Attributes:
        story: what happened.
        abandoned: sockets of connections it gave up because of silence.
    """

    def __init__(self, wanted: Wanted) -> None:
        super().__init__(daemon=True)
        self.wanted = wanted
        self.story = Story()
        self.abandoned: list[socket.socket] = []
        self.last_id = ''
        self.turn = 0
        self.progress = threading.Condition()
        self.leaving = False
        self.stopped = threading.Event()
        self.socket: socket.socket | None = None

    def run(self) -> None:
        """Call, and reconnect while there is hope."""
        give_up_s = time.monotonic() + GIVE_UP_S
        while not self._is_over() and time.monotonic() < give_up_s:
            wait_s = self._call()
            if self._is_over():
                break
            self.turn += 1
            time.sleep(wait_s)
        with self.progress:
            self.progress.notify_all()

    def wait_for(self, tokens: int, timeout_s: float = GIVE_UP_S) -> None:
        """Wait until so many tokens came.

        Raises:
            TimeoutError: they did not.
        """
        story = self.story
        with self.progress:
            there = self.progress.wait_for(
                lambda: len(story.moments) >= tokens or self._is_over(),
                timeout_s,
            )
        if not there or len(story.moments) < tokens:
            raise TimeoutError(f'{len(story.moments)} of {tokens} tokens came')

    def leave(self) -> None:
        """Close the connection and come back no more."""
        self.leaving = True
        self.stopped.set()
        self.hop()

    def hop(self) -> None:
        """Drop the connection, to go on at the next host."""
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def late_tokens(self, timeout_s: float) -> int:
        """Count tokens that came on connections it had given up."""
        deadline = time.monotonic() + timeout_s
        drained = [_drain(one, deadline) for one in self.abandoned]
        return b''.join(drained).count(TOKEN_EVENT)

    def _is_over(self) -> bool:
        story = self.story
        return bool(story.reason or story.error or self.leaving)

    def _call(self) -> float:
        """Make one call; return the seconds to wait before the next."""
        wanted = self.wanted
        address = wanted.addresses[self.turn % len(wanted.addresses)]
        host, port = split_address(address)
        connection = client.HTTPConnection(host, port, wanted.patience_s)
        try:
            connection.connect()
        except OSError:
            return REFUSED_WAIT_S
        if not wanted.reads:
            size = socket.SO_RCVBUF
            connection.sock.setsockopt(socket.SOL_SOCKET, size, DRAIN_BYTES)
        # The response closes its own copy when it fails.
        self.socket = connection.sock.dup()
        try:
            return self._exchange(connection)
        except TimeoutError:
            self.abandoned.append(self.socket)
        except (OSError, client.HTTPException):
            pass  # noqa: WPS420
        finally:
            self._close(connection)
        self._note_loss()
        return 0

    def _close(self, connection: client.HTTPConnection) -> None:
        connection.close()
        if self.socket not in self.abandoned:
            self.socket.close()

    def _note_loss(self) -> None:
        lost = Reconnect(time.monotonic())
        if self.story.moments and not self._is_over():
            self.story.reconnects.append(lost)

    def _exchange(self, connection: client.HTTPConnection) -> float:
        self._request(connection)
        response = connection.getresponse()
        self.story.statuses.append(response.status)
        if response.status != HTTPStatus.OK:
            return self._refused(response.status, response.read())
        generation = response.headers['Generation-Id']
        self.story.received.generation = generation
        with response:
            self._read(response)
        if not self._is_over():
            self._note_loss()
        return 0

    def _request(self, connection: client.HTTPConnection) -> None:
        headers = dict(self.wanted.headers)
        generation = self.story.received.generation
        if generation:
            if self.last_id:
                headers['Last-Event-ID'] = self.last_id
            path = f'/v1/generations/{generation}'
            connection.request('GET', path, headers=headers)
            return
        if self.wanted.key:
            headers['Idempotency-Key'] = self.wanted.key
        body = json.dumps(self.wanted.body)
        connection.request('POST', '/v1/completions', body, headers)

    def _refused(self, status: int, content: bytes) -> float:
        error = json.loads(content)['error']
        wait_s = error.get('retry_after_s')
        if wait_s is None:
            self.story.error = error['code']
            return 0
        return min(wait_s, LONGEST_WAIT_S)

    def _read(self, response: client.HTTPResponse) -> None:
        if not self.wanted.reads:
            self.stopped.wait(GIVE_UP_S)
        kind = ''
        while not self._is_over():
            line = response.readline()
            if not line:
                return
            name, _, content = line.decode().rstrip('\n').partition(': ')
            if name == 'event':
                kind = content
            elif name == 'id':
                self.last_id = content
            elif name == 'data':
                self._take(kind, content)

    def _take(self, kind: str, content: str) -> None:
        if content == '[DONE]':
            return
        event = json.loads(content)
        if kind == 'error':
            # One that tells when to come back is no final answer.
            if event['error'].get('retry_after_s') is None:
                self.story.error = event['error']['code']
            return
        choice = event['choices'][0]
        _, epoch, offset = self.last_id.rsplit('.', 2)
        if choice['finish_reason']:
            self.story.received.total = int(offset)
            self.story.reason = choice['finish_reason']
            return
        self._arrived(int(epoch), int(offset) - 1, choice['text'])

    def _arrived(self, epoch: int, offset: int, token: str) -> None:
        now = time.monotonic()
        story = self.story
        if story.reconnects and story.reconnects[-1].first_s is None:
            story.reconnects[-1].first_s = now
        with self.progress:
            story.received.tokens.append(ReceivedToken(epoch, offset, token))
            story.moments.append(now)
            self.progress.notify_all()


def _drain(connection: socket.socket, deadline: float) -> bytes:
    arrived = b''
    while time.monotonic() < deadline:
        connection.settimeout(max(LEAST_WAIT_S, deadline - time.monotonic()))
        try:
            part = connection.recv(DRAIN_BYTES)
        except OSError:
            break
        if not part:
            break
        arrived += part
    connection.close()
    return arrived
