"""Concurrent callers of completions in one event loop."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

from bench.rigs import account_headers, completion
from bench.streams import StreamRequest

MIN_RETRY_WAIT_S = 0.2
LOAD_TOKENS = (10, 40)
LOAD_DEADLINE_S = 10.0
COMPLETIONS_PATH = '/v1/completions'
FINISH_MARKER = b'"finish_reason":"length"'


@dataclass(frozen=True, slots=True)
class Request:
    """One completion.

    Attributes:
        account: name of the client account.
        nonce: number that makes the prompt differ from others.
        tokens: number of tokens to generate.
        deadline_s: seconds within which the response must be complete.
    """

    account: str
    nonce: float
    tokens: int
    deadline_s: float

    @property
    def prompt(self) -> str:
        """Prompt that no other request uses."""
        return f'{self.nonce} streets with a view of the lake'


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a request.

    Attributes:
        accepted: whether it was not refused.
        in_time: whether it was complete before its deadline.
        ended_s: when it ended, monotonic seconds.
        retry_after_s: seconds to wait after a refusal before the next request.
    """

    accepted: bool
    in_time: bool
    ended_s: float
    retry_after_s: float = MIN_RETRY_WAIT_S


class LoadGenerator:
    """Sends completion requests to random hosts."""

    def __init__(self, hosts: list[str], rng: random.Random) -> None:
        self.hosts = hosts
        self.rng = rng

    async def send(self, request: Request) -> Outcome:
        """Send a request and read the response until the deadline."""
        stream_request = StreamRequest(
            self.rng.choice(self.hosts),
            COMPLETIONS_PATH,
            completion(request.prompt, request.tokens),
            account_headers(request.account),
        )
        return await exchange(stream_request, request.deadline_s)

    @contextlib.asynccontextmanager
    async def keep_in_flight(
        self, in_flight: Mapping[str, int]
    ) -> AsyncIterator[None]:
        """Keep requests in flight while the context is open.

        ``in_flight`` is the number of concurrent requests by account.
        """
        tasks = [
            asyncio.create_task(self._send_repeatedly(account))
            for account, count in in_flight.items()
            for _ in range(count)
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_repeatedly(self, account: str) -> None:
        while True:
            tokens = self.rng.randint(*LOAD_TOKENS)
            request = Request(
                account,
                self.rng.random(),
                tokens,
                LOAD_DEADLINE_S,
            )
            outcome = await self.send(request)
            if not outcome.accepted:
                await asyncio.sleep(outcome.retry_after_s)


async def exchange(
    stream_request: StreamRequest,
    deadline_s: float,
    end_marker: bytes = FINISH_MARKER,
) -> Outcome:
    """Send a request and read the response until the deadline.

    The response is complete when it contains ``end_marker``.  A response cut
    off by the deadline or an error counts as accepted but not in time.
    """
    try:
        async with asyncio.timeout(deadline_s):
            return await _read(stream_request, end_marker)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return Outcome(True, False, time.monotonic())


async def _read(stream_request: StreamRequest, end_marker: bytes) -> Outcome:
    ip, _, port = stream_request.address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(stream_request.encode())
    with contextlib.closing(writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if b' 200 ' not in head.partition(b'\r\n')[0]:
            return Outcome(False, False, time.monotonic(), _retry_after(head))
        content = await reader.read()
        return Outcome(True, end_marker in content, time.monotonic())


def _retry_after(head: bytes) -> float:
    for line in head.decode('latin-1').split('\r\n'):
        name, _, seconds = line.partition(':')
        if name.lower() == 'retry-after':
            return max(float(seconds), MIN_RETRY_WAIT_S)
    return MIN_RETRY_WAIT_S
