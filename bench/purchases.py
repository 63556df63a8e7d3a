"""Client of the shop, and statistics of its calls."""

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
KEYS_MINTED = 1000  # keys of one request, also the number of lookup paths
MS_PER_S = 1000
PERCENT = 100


@dataclass(slots=True)
class CallStats:
    """Outcomes and durations of calls.

    Attributes:
        outcomes: number of calls by outcome: ``answered``, ``no_answer``,
            ``failed``, or the verdict of the error.
        not_run_ids: ids of requests that were answered ``not_run``.
        durations_s: durations of answered calls in seconds.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    not_run_ids: set[str] = field(default_factory=set)
    durations_s: list[float] = field(default_factory=list)

    @property
    def calls(self) -> int:
        """Number of all calls."""
        return self.outcomes.total()

    def availability(self) -> float:
        """Return the part of the calls that were answered without an error."""
        return round(self.outcomes['answered'] / max(1, self.calls), 5)

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the durations of answered calls."""
        durations = sorted(self.durations_s) or [0]
        return round(
            durations[len(durations) * percent // PERCENT] * MS_PER_S, 1
        )


class ShopClient:
    """Makes calls through random hosts of a shop."""

    def __init__(self, shop: Shop, seed: int) -> None:
        self.shop = shop
        self.rng = random.Random(seed)
        self.transport = CurlTransport()
        self.number = 0

    async def call(
        self,
        stats: CallStats,
        method: str,
        path: str,
        key: str = '',
    ) -> str:
        """Make a call, add it to the statistics and return its outcome.

        With a key, the body asks for an item of the same name.
        """
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
        start_s = time.monotonic()
        outcome = await self._outcome(request)
        stats.outcomes[outcome] += 1
        if outcome == 'answered':
            stats.durations_s.append(time.monotonic() - start_s)
        if outcome == 'not_run':
            stats.not_run_ids.add(request_id)
        return outcome

    async def purchase(self, stats: CallStats, key: str) -> None:
        """Buy an item; repeat the call if it failed, and at times if not."""
        outcome = await self.call(stats, 'POST', '/purchases', key)
        if outcome != 'answered' or self.rng.random() < REPEAT_RATIO:
            await self.call(stats, 'POST', '/purchases', key)

    async def look_up(self, stats: CallStats) -> None:
        """Make an idempotent call, then pause."""
        lookup = self.rng.randrange(KEYS_MINTED)
        await self.call(stats, 'GET', f'/lookups/{lookup}')
        await asyncio.sleep(self.rng.uniform(0, 2 * LOOKUP_PAUSE_S))

    async def mint_keys(self) -> list[str]:
        """Return keys minted by all hosts, in random order."""
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

    async def _outcome(self, request: HttpRequest) -> str:
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
    action: Callable[[], Awaitable[None]],
) -> None:
    """Let concurrent workers repeat an action until the time is over."""
    end_s = time.monotonic() + duration_s
    tasks = [_repeat_until(end_s, action) for _ in range(workers)]
    await asyncio.gather(*tasks)


async def _repeat_until(
    end_s: float, action: Callable[[], Awaitable[None]]
) -> None:
    while time.monotonic() < end_s:
        await action()
