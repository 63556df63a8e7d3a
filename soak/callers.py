"""Callers that go on whatever happens, each on a connection of its own."""

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

PAUSE_S = 0.03
DEADLINE_S = {'buy': 2.0, 'look': 2.0, 'narrate': 6.0}
PATHS = {'buy': CALL_PATH, 'look': LOOKUP_PATH, 'narrate': STREAM_PATH}
LONGEST_STREAM = 80  # events; 20 ms each
PATIENCE_S = 1.0  # beyond the deadline
MILLISECONDS = 1000
KEYS_USED = 3  # the newest ones, of which only one is valid
NEWEST_KEY_SHARE = 0.7


class Caller(threading.Thread):
    """Sends one request after another.

    Attributes:
        attempts: what became of them.
        stopped: set to end.
    """

    def __init__(
        self,
        seed: int,
        fronts: dict[str, str],
        keys: Sequence[str],
    ) -> None:
        super().__init__(daemon=True)
        self.random = Random(seed)
        self.fronts = fronts
        self.keys = keys
        self.attempts: list[Attempt] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Send until stopped; keep a connection until it ends."""
        front, connection = self.connect()
        while not self.stopped.wait(self.random.uniform(0, PAUSE_S)):
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
        """Send one request; tell whether its connection may go on."""
        attempt = self.draw(front)
        self.attempts.append(attempt)
        connection.timeout = attempt.deadline_s + PATIENCE_S
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        try:
            self.exchange(attempt, connection)
        except (OSError, client.HTTPException):
            return False
        finally:
            attempt.took_s = time.monotonic() - attempt.sent_s
        return connection.sock is not None

    def draw(self, front: str) -> Attempt:
        """Return the next request."""
        kind = self.random.choice(('buy', 'buy', 'look', 'narrate'))
        events = self.random.randint(1, LONGEST_STREAM)
        return Attempt(
            request_id=secrets.token_hex(8),
            kind=kind,
            front=front,
            key=self.draw_key(),
            sent_s=time.monotonic(),
            deadline_s=DEADLINE_S[kind],
            events_wanted=events if kind == 'narrate' else 0,
        )

    def draw_key(self) -> str:
        """Return the newest key, now and then one that was taken away."""
        if self.random.random() < NEWEST_KEY_SHARE:
            return self.keys[-1]
        return self.random.choice(self.keys[-KEYS_USED:])

    def exchange(
        self,
        attempt: Attempt,
        connection: client.HTTPConnection,
    ) -> None:
        """Send a request and note what comes."""
        reads = attempt.kind == 'look'
        connection.request(
            'GET' if reads else 'POST',
            PATHS[attempt.kind],
            None if reads else b'{}',
            _headers(attempt),
        )
        read_answer(connection, attempt)


def _headers(attempt: Attempt) -> dict[str, str]:
    tokens = f'100,{attempt.events_wanted * TOKENS_PER_EVENT}'
    return request_headers(
        Attempt_Id=attempt.request_id,
        Authorization=f'Bearer {attempt.key}',
        Deadline_Ms=str(int(attempt.deadline_s * MILLISECONDS)),
        Token_Count=tokens if attempt.events_wanted else None,
    )
