"""Many callers of completions at once, in one event loop."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

from bench.rigs import account_headers, completion
from bench.streams import Call

ERROR_WAIT_S = 0.2
FLOOD_TOKENS = (10, 40)
FLOOD_DEADLINE_S = 10.0
PATH = '/v1/completions'
END = b'"finish_reason":"length"'


@dataclass(frozen=True, slots=True)
class Request:
    """One completion.

    Attributes:
        account: who asks.
        draw: between 0 and 1, makes the prompt differ from others.
        tokens: how many it wants.
        deadline_s: seconds until it must be complete.
    """

    account: str
    draw: float
    tokens: int
    deadline_s: float

    @property
    def prompt(self) -> str:
        """Return a prompt of its own."""
        return f'{self.draw} streets with a view of the lake'


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        accepted: it was not refused.
        in_time: it was complete before its deadline.
        ended_s: when it ended, monotonic seconds.
        retry_after_s: when to come back after a refusal.
    """

    accepted: bool
    in_time: bool
    ended_s: float
    retry_after_s: float = ERROR_WAIT_S


class Crowd:
    """Sends requests to random hosts."""

    def __init__(self, hosts: list[str], rng: random.Random) -> None:
        self.hosts = hosts
        self.rng = rng

    async def send(self, request: Request) -> Outcome:
        """Send a request and read its answer until the deadline."""
        call = Call(
            self.rng.choice(self.hosts),
            PATH,
            completion(request.prompt, request.tokens),
            account_headers(request.account),
        )
        return await exchange(call, request.deadline_s)

    @contextlib.asynccontextmanager
    async def flood(self, in_flight: Mapping[str, int]) -> AsyncIterator[None]:
        """Keep requests of some accounts in flight meanwhile."""
        tasks = [
            asyncio.create_task(self._repeat(account))
            for account, count in in_flight.items()
            for _ in range(count)
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, account: str) -> None:
        while True:
            tokens = self.rng.randint(*FLOOD_TOKENS)
            request = Request(
                account,
                self.rng.random(),
                tokens,
                FLOOD_DEADLINE_S,
            )
            outcome = await self.send(request)
            if not outcome.accepted:
                await asyncio.sleep(outcome.retry_after_s)


async def exchange(call: Call, deadline_s: float, end: bytes = END) -> Outcome:
    """Make a call; it is complete when ``end`` was read."""
    try:
        async with asyncio.timeout(deadline_s):
            return await _read(call, end)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return Outcome(True, False, time.monotonic())


async def _read(call: Call, end: bytes) -> Outcome:
    ip, _, port = call.address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(call.encode())
    with contextlib.closing(writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if b' 200 ' not in head.partition(b'\r\n')[0]:
            return Outcome(False, False, time.monotonic(), _retry_after(head))
        text = await reader.read()
        return Outcome(True, end in text, time.monotonic())


def _retry_after(head: bytes) -> float:
    for line in head.decode('latin-1').split('\r\n'):
        name, _, seconds = line.partition(':')
        if name.lower() == 'retry-after':
            return max(float(seconds), ERROR_WAIT_S)
    return ERROR_WAIT_S
