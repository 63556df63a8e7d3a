"""Baseline for `bench resume`: restart the generation and skip sent tokens."""

import json
import threading
import time
from http import client
from typing import Any

from bench.zones import Zones
from standins.callers import CallHistory
from standins.checking import ReceivedToken
from standins.serving import split_address

READ_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.02
EVENT_PREFIX = b'data: '


class RestartingReader(threading.Thread):
    """Reads one generation from engines directly, without an entry host.

    After a failure it requests the whole generation from the next engine and
    skips the tokens that were already received.

    Attributes:
        history: what its caller would have received.
    """

    def __init__(self, zones: Zones, number: int, max_tokens: int) -> None:
        super().__init__(daemon=True)
        self.engines = dict(zones.engines)
        self.engine_names = sorted(self.engines)
        self.number = number
        self.max_tokens = max_tokens
        self.attempt = 0
        self.history = CallHistory()
        self.history.received.generation = f'baseline-{time.time_ns()}-{number}'

    @property
    def engine(self) -> str:
        """Name of the engine of the current attempt."""
        return self.engine_names[
            (self.number + self.attempt) % len(self.engine_names)
        ]

    def run(self) -> None:
        """Retry until an end event is received."""
        while not self.history.reason:
            connection = client.HTTPConnection(
                *split_address(self.engines[self.engine]),
                timeout=READ_TIMEOUT_S,
            )
            try:
                self._read_attempt(connection)
            except (OSError, client.HTTPException):
                time.sleep(RETRY_DELAY_S)
            finally:
                connection.close()
            self.attempt += 1

    def _read_attempt(self, connection: client.HTTPConnection) -> None:
        body = {
            'generation': self.history.received.generation,
            'epoch': 1,
            'attempt': self.attempt + 1,
            'prompt': 'quiet streets by the lake',
            'prefix': [],
            'max_tokens': self.max_tokens,
        }
        connection.request('POST', '/v1/generate', json.dumps(body))
        with connection.getresponse() as response:
            for line in iter(response.readline, b''):
                if line.startswith(EVENT_PREFIX):
                    self._apply(json.loads(line.removeprefix(EVENT_PREFIX)))

    def _apply(self, event: dict[str, Any]) -> None:
        received = self.history.received
        reason = event.get('end')
        if reason:
            received.total = event['o']
            self.history.reason = reason
        elif event['o'] >= len(received.tokens):
            received.tokens.append(ReceivedToken(1, event['o'], event['t']))
            self.history.moments.append(time.monotonic())


def start_readers(
    zones: Zones, count: int, max_tokens: int
) -> list[RestartingReader]:
    """Start readers whose first attempts are spread over the engines."""
    callers = [
        RestartingReader(zones, number, max_tokens) for number in range(count)
    ]
    for caller in callers:
        caller.start()
    return callers
