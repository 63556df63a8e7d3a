"""Plain least-loaded routing, to compare with."""

import asyncio
import random
from typing import Self

from bench.crowds import Outcome, Request, exchange
from bench.streams import Call
from standins.calls import call

POLL_S = 0.5
END = b'"end"'


class LeastLoaded:
    """Sends each request at once to whoever reports the least work.

    It counts what it has sent since the last report, as such routers do, and
    admits everything.
    """

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        self.loads = dict.fromkeys(engines, 0)
        self.rng = rng
        self.number = 0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = asyncio.create_task(self._poll())
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.task.cancel()

    async def send(self, request: Request) -> Outcome:
        """Send a request and read its answer until the deadline."""
        self.number += 1
        least = min(self.loads.values())
        equal = [name for name, load in self.loads.items() if load == least]
        chosen = self.rng.choice(equal)
        self.loads[chosen] += 1
        body = {
            'generation': f'rival-{self.number}',
            'epoch': 1,
            'attempt': 1,
            'prompt': request.prompt,
            'prefix': [],
            'max_tokens': request.tokens,
            'seed': 1,
            'priority': 0,
            'client_account': request.account,
        }
        return await exchange(
            Call(chosen, '/v1/generate', body, {}),
            request.deadline_s,
            END,
        )

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for name in self.loads:
                _, report = await loop.run_in_executor(
                    None,
                    call,
                    name,
                    'GET',
                    '/v1/load',
                )
                self.loads[name] = report['running'] + report['waiting']
            await asyncio.sleep(POLL_S)
