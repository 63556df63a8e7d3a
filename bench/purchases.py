"""Callers of a shop, and what they were told."""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from bench.shops import Shop, caller_headers
from celerywharf.adapters import CurlTransport, HttpRequest
from celerywharf.exceptions import TransportError

LOOKUP_PAUSE_S = 0.02
CALL_TIMEOUT_S = 8
CONNECT_TIMEOUT_S = 3
REPEAT_RATIO = 0.1
KEYS_MINTED = 1000
MS = 1000
PERCENT = 100


@dataclass(slots=True)
class Tally:
    """What callers were told.

    Attributes:
        ends: number of calls by how they ended.
        not_run: ids of requests that were answered ``not_run``.
        times_s: seconds that answered calls took.
    """

    ends: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    times_s: list[float] = field(default_factory=list)

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return self.ends.total()

    def availability(self) -> float:
        """Return the part of the calls that were answered well."""
        return round(self.ends['answered'] / max(1, self.calls), 5)

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the times of answered calls."""
        times = sorted(self.times_s) or [0]
        return round(times[len(times) * percent // PERCENT] * MS, 1)


class Callers:
    """Calls through the hosts of a shop."""

    def __init__(self, shop: Shop, seed: int) -> None:
        self.shop = shop
        self.rng = random.Random(seed)
        self.transport = CurlTransport()
        self.number = 0

    async def call(
        self,
        tally: Tally,
        method: str,
        path: str,
        key: str = '',
    ) -> str:
        """Make one call, for an item of the key's name; count its end."""
        self.number += 1
        request_id = f'r{self.number}'
        host = self.rng.choice(list(self.shop.listens))
        request = HttpRequest(
            method,
            f'http://{self.shop.listens[host]}/apps/shop{path}',
            caller_headers(key, request_id),
            json.dumps({'item': key}).encode() if key else None,
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        began_s = time.monotonic()
        end = await self._end(request)
        tally.ends[end] += 1
        if end == 'answered':
            tally.times_s.append(time.monotonic() - began_s)
        if end == 'not_run':
            tally.not_run.add(request_id)
        return end

    async def purchase(self, tally: Tally, key: str) -> None:
        """Buy an item; repeat what may have run, and now and then the rest."""
        end = await self.call(tally, 'POST', '/purchases', key)
        if end != 'answered' or self.rng.random() < REPEAT_RATIO:
            await self.call(tally, 'POST', '/purchases', key)

    async def look_up(self, tally: Tally) -> None:
        """Make an idempotent call, then pause."""
        county = self.rng.randrange(KEYS_MINTED)
        await self.call(tally, 'GET', f'/lookups/{county}')
        await asyncio.sleep(self.rng.uniform(0, 2 * LOOKUP_PAUSE_S))

    async def mint(self) -> list[str]:
        """Return keys minted by the hosts, mixed."""
        keys: list[str] = []
        for address in self.shop.listens.values():
            response = await self.transport.fetch(
                HttpRequest.with_json(
                    'POST',
                    f'http://{address}/apps/shop/-/keys',
                    {'count': KEYS_MINTED},
                    headers=caller_headers(),
                ),
            )
            keys.extend(response.json()['keys'])
        self.rng.shuffle(keys)
        return keys

    async def _end(self, request: HttpRequest) -> str:
        try:
            response = await self.transport.fetch(request)
        except TransportError:
            return 'no_answer'
        if response.status < HTTPStatus.BAD_REQUEST:
            return 'answered'
        try:
            return response.json()['error']['verdict']
        except (ValueError, KeyError):
            return 'failed'


async def repeat(
    workers: int,
    duration_s: float,
    act: Callable[[], Awaitable[None]],
) -> None:
    """Let workers do the same again and again for a while."""
    end_s = time.monotonic() + duration_s
    working = [_work(end_s, act) for _ in range(workers)]
    await asyncio.gather(*working)


async def _work(end_s: float, act: Callable[[], Awaitable[None]]) -> None:
    while time.monotonic() < end_s:
        await act()
