"""Baseline for `bench limits`: plain least-loaded routing."""

import asyncio
import random
from typing import Self

from bench.crowds import Outcome, Request, exchange
from bench.streams import StreamRequest
from standins.calls import call

POLL_INTERVAL_S = 0.5
END_MARKER = b'"end"'


class LeastLoaded:
    """Sends each request immediately to the engine with the lowest load.

    The load is that of the engine's last report plus the requests sent since,
    as is usual for such routers.  No request is refused or queued.
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
        """Send a request and read the response until the deadline."""
        self.number += 1
        lowest_load = min(self.loads.values())
        candidates = [
            address
            for address, load in self.loads.items()
            if load == lowest_load
        ]
        chosen = self.rng.choice(candidates)
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
            StreamRequest(chosen, '/v1/generate', body, {}),
            request.deadline_s,
            END_MARKER,
        )

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for address in self.loads:
                _, report = await loop.run_in_executor(
                    None,
                    call,
                    address,
                    'GET',
                    '/v1/load',
                )
                self.loads[address] = report['running'] + report['waiting']
            await asyncio.sleep(POLL_INTERVAL_S)
