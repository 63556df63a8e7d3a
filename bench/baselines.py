"""The simplest resume: run again from the start, drop what was sent."""

import json
import threading
import time
from http import client
from typing import Any

from bench.zones import Zones
from standins.callers import CallHistory
from standins.checking import ReceivedToken
from standins.serving import split_address

SILENCE_S = 3.0
RETRY_S = 0.02
EVENT = b'data: '


class Rerunner(threading.Thread):
    """Reads a generation straight from engines, one after the other.

    Attributes:
        history: what its caller would have got.
        engine: where it runs.
    """

    def __init__(self, zones: Zones, number: int, max_tokens: int) -> None:
        super().__init__(daemon=True)
        self.engines = dict(zones.engines)
        self.order = sorted(self.engines)
        self.number = number
        self.max_tokens = max_tokens
        self.attempt = 0
        self.history = CallHistory()
        self.history.received.generation = f'baseline-{time.time_ns()}-{number}'

    @property
    def engine(self) -> str:
        """Name of the engine in use."""
        return self.order[(self.number + self.attempt) % len(self.order)]

    def run(self) -> None:
        """Run until an end event came."""
        while not self.history.reason:
            connection = client.HTTPConnection(
                *split_address(self.engines[self.engine]),
                timeout=SILENCE_S,
            )
            try:
                self._exchange(connection)
            except (OSError, client.HTTPException):
                time.sleep(RETRY_S)
            finally:
                connection.close()
            self.attempt += 1

    def _exchange(self, connection: client.HTTPConnection) -> None:
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
                if line.startswith(EVENT):
                    self._take(json.loads(line.removeprefix(EVENT)))

    def _take(self, event: dict[str, Any]) -> None:
        received = self.history.received
        reason = event.get('end')
        if reason:
            received.total = event['o']
            self.history.reason = reason
        elif event['o'] >= len(received.tokens):
            received.tokens.append(ReceivedToken(1, event['o'], event['t']))
            self.history.moments.append(time.monotonic())


def rerun_all(zones: Zones, count: int, max_tokens: int) -> list[Rerunner]:
    """Start so many callers, spread over the engines."""
    callers = [Rerunner(zones, one, max_tokens) for one in range(count)]
    for caller in callers:
        caller.start()
    return callers
