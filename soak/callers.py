"""Callers that keep sending whatever fails, each on its own connection."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Sequence
from http import client
from random import Random

from soak.records import Attempt
from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    STREAM_PATH,
    read_answer,
    request_headers,
)
from standins.model_servers import TOKENS_PER_EVENT
from standins.serving import split_address

MAX_PAUSE_S = 0.03
KINDS = ('buy', 'buy', 'look', 'narrate')
# By kind of request.
DEADLINE_S = {'buy': 2.0, 'look': 2.0, 'narrate': 6.0}
PATHS = {'buy': CALL_PATH, 'look': LOOKUP_PATH, 'narrate': STREAM_PATH}
MAX_STREAM_EVENTS = 80  # a server takes 20 ms for each
SOCKET_TIMEOUT_MARGIN_S = 1.0  # after the deadline of the request
MS_PER_S = 1000
RECENT_KEYS = 3  # of which only the newest is valid
NEWEST_KEY_PROBABILITY = 0.7


class Caller(threading.Thread):
    """Sends one request after another to randomly chosen fronts.

    Attributes:
        fronts: address of each front by name.
        keys: API keys; the last is the newest and the only valid one.
        probes_kind: kind of all requests if they test one front; None for
            random kinds.
        attempts: all requests sent, with what was received.
        stopped: event that ends the caller after its current request.
    """

    def __init__(
        self,
        seed: int,
        fronts: dict[str, str],
        keys: Sequence[str],
        probes_kind: str | None = None,
    ) -> None:
        super().__init__(daemon=True)
        self.random = Random(seed)
        self.fronts = fronts
        self.keys = keys
        self.probes_kind = probes_kind
        self.attempts: list[Attempt] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Send until stopped; reuse each connection until it closes."""
        front, connection = self.connect()
        while not self.stopped.wait(self.random.uniform(0, MAX_PAUSE_S)):
            if not self.send(front, connection):
                connection.close()
                front, connection = self.connect()
        connection.close()

    def connect(self) -> tuple[str, client.HTTPConnection]:
        """Choose a front; the connection opens with the first request."""
        front = self.random.choice(sorted(self.fronts))
        host, port = split_address(self.fronts[front])
        return front, client.HTTPConnection(host, port)

    def send(self, front: str, connection: client.HTTPConnection) -> bool:
        """Send one request; return whether its connection can be reused."""
        attempt = self.draw_attempt(front)
        self.attempts.append(attempt)
        connection.timeout = attempt.deadline_s + SOCKET_TIMEOUT_MARGIN_S
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        try:
            self.exchange(attempt, connection)
        except (OSError, client.HTTPException):
            return False
        finally:
            attempt.took_s = time.monotonic() - attempt.sent_s
        return connection.sock is not None

    def draw_attempt(self, front: str) -> Attempt:
        """Return a random request, not sent yet."""
        kind = self.probes_kind or self.random.choice(KINDS)
        events = self.random.randint(1, MAX_STREAM_EVENTS)
        return Attempt(
            request_id=secrets.token_hex(8),
            kind=kind,
            front=front,
            key=self.draw_key(),
            sent_s=time.monotonic(),
            deadline_s=DEADLINE_S[kind],
            events_wanted=events if kind == 'narrate' else 0,
            is_probe=self.probes_kind is not None,
        )

    def draw_key(self) -> str:
        """Return the newest key or, less often, a revoked one."""
        if self.random.random() < NEWEST_KEY_PROBABILITY:
            return self.keys[-1]
        return self.random.choice(self.keys[-RECENT_KEYS:])

    def exchange(
        self,
        attempt: Attempt,
        connection: client.HTTPConnection,
    ) -> None:
        """Send a request and record in the attempt what is received."""
        is_lookup = attempt.kind == 'look'
        connection.request(
            'GET' if is_lookup else 'POST',
            PATHS[attempt.kind],
            None if is_lookup else b'{}',
            _headers(attempt),
        )
        read_answer(connection, attempt)


def _headers(attempt: Attempt) -> dict[str, str]:
    tokens = f'100,{attempt.events_wanted * TOKENS_PER_EVENT}'
    return request_headers(
        Attempt_Id=attempt.request_id,
        Authorization=f'Bearer {attempt.key}',
        Deadline_Ms=str(int(attempt.deadline_s * MS_PER_S)),
        Token_Count=tokens if attempt.events_wanted else None,
    )
