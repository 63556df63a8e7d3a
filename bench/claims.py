"""Calls that may not be repeated, and those that may, under faults.

Purchases with idempotency keys run through three hosts while backend servers
cut and refuse calls and the platform loses answers; lookups while a backend
server is killed each 5 s, and while half of them fail; and purchases while
the platform is down, with keys of the callers' own and with minted ones.
"""

import asyncio
import functools
import random
import sys
import time
from collections import Counter
from typing import Any

from bench.purchases import Callers, Tally, repeat
from bench.shops import Shop
from standins.launching import Fleet

HOSTS = ('a', 'b', 'c')
SERVERS = ('s1', 's2', 's3', 's4')
CLAIM_CALLERS = 160
CLAIM_S = 10
FAULT_PERIOD_S = 0.5
LOOKUP_CALLERS = 24
KILL_S = 16
KILL_PERIOD_S = 5
RESTART_S = 2.5
STORM_S = 5
OUTAGE_CALLERS = 8
OUTAGE_S = 4
OUTAGE_PAUSE_S = 0.02
SETTLE_S = 1
P50 = 50
P99 = 99


class Experiment:
    """The phases, one after the other."""

    def __init__(self, shop: Shop, seed: int) -> None:
        self.shop = shop
        self.fleet = shop.fleet
        self.rng = random.Random(seed)
        self.callers = Callers(shop, seed)
        self.keys = 0
        self.minted: list[str] = []
        self.runs: dict[tuple[Any, ...], dict[str, Any]] = {}

    async def run(self) -> dict[str, Any]:
        """Run all phases and return the figures."""
        claims, writes = await self._claim()
        self._keep_runs()
        idempotent = await self._kill()
        storm = await self._storm()
        own, minted = await self._outage()
        self._keep_runs()
        return {
            **self._count((claims, idempotent, own, minted)),
            'platform_writes_per_claim': writes,
            'availability_idempotent': idempotent.availability(),
            'attempts_per_request_storm': storm,
            'availability_platform_down': {
                'claims': own.availability(),
                'minted_keys': minted.availability(),
            },
            'claim_calls': claims.calls,
            'claim_ends': dict(claims.ends),
            'claim_ms_p50': claims.percentile_ms(P50),
            'claim_ms_p99': claims.percentile_ms(P99),
        }

    def _keep_runs(self) -> None:
        """Keep what ran, as long as those who ran it still tell."""
        for run in self.shop.runs():
            name = run['backend_server'], run['id'], run['request_id']
            self.runs[name] = run

    def _count(self, tallies: tuple[Tally, ...]) -> dict[str, int]:
        ran = Counter((run['path'], run['item']) for run in self.runs.values())
        requests = {run['request_id'] for run in self.runs.values()}
        told: set[str] = set().union(*(one.not_run for one in tallies))
        return {
            'calls': sum(tally.calls for tally in tallies),
            'ran': ran.total(),
            'ran_twice': sum(count > 1 for count in ran.values()),
            'false_not_run': len(told & requests),
        }

    async def _claim(self) -> tuple[Tally, float]:
        tally = Tally()
        before = self._writes()
        first = self.keys
        buy = functools.partial(self._buy, tally)
        faults = asyncio.ensure_future(self._plant_faults())
        await repeat(CLAIM_CALLERS, CLAIM_S, buy)
        faults.cancel()
        await asyncio.sleep(SETTLE_S)
        writes = self._writes() - before
        _say('claims', tally.ends)
        return tally, round(writes / (self.keys - first), 3)

    async def _plant_faults(self) -> None:
        while True:
            server = self.rng.choice(SERVERS)
            switch = self.rng.choice(
                ('close_after_read', 'close_after_run', 'refuse', 'lose'),
            )
            if switch == 'lose':
                self._control('platform', lose_answer_after_write=1)
            elif switch == 'refuse':
                self._control(server, refuse=True)
            else:
                self._control(server, **{switch: 3})
            await asyncio.sleep(FAULT_PERIOD_S)
            self._control(server, refuse=False)

    async def _kill(self) -> Tally:
        tally = Tally()
        look_up = functools.partial(self.callers.look_up, tally)
        killing = asyncio.ensure_future(self._kill_servers())
        await repeat(LOOKUP_CALLERS, KILL_S, look_up)
        killing.cancel()
        for server in SERVERS:
            self._restart(server)
        _say('kills', tally.ends)
        return tally

    async def _kill_servers(self) -> None:
        while True:
            server = self.rng.choice(SERVERS)
            await asyncio.sleep(KILL_PERIOD_S - RESTART_S)
            self.fleet.kill(server)
            await asyncio.sleep(RESTART_S)
            self._restart(server)

    async def _storm(self) -> float:
        for server in SERVERS[::2]:
            self._control(server, fail_ratio=1)
        tally = Tally()
        look_up = functools.partial(self.callers.look_up, tally)
        before = self._received()
        await repeat(LOOKUP_CALLERS, STORM_S, look_up)
        attempts = self._received() - before
        for server in SERVERS[::2]:
            self._control(server, fail_ratio=0)
        _say('storm', tally.ends)
        return round(attempts / tally.calls, 3)

    async def _outage(self) -> tuple[Tally, Tally]:
        self.minted = await self.callers.mint()
        self._control('platform', down=True)
        own, minted = Tally(), Tally()
        buy = functools.partial(self._buy_both, own, minted)
        await repeat(OUTAGE_CALLERS, OUTAGE_S, buy)
        self._control('platform', down=False)
        _say('outage, own keys', own.ends)
        _say('outage, minted keys', minted.ends)
        return own, minted

    async def _buy(self, tally: Tally) -> None:
        self.keys += 1
        await self.callers.purchase(tally, f'key-{self.keys}')

    async def _buy_both(self, own: Tally, minted: Tally) -> None:
        await self._buy(own)
        await self.callers.purchase(minted, self.minted.pop())
        await asyncio.sleep(OUTAGE_PAUSE_S)

    def _restart(self, server: str) -> None:
        member = self.fleet.members[server]
        if not member.is_running:
            self.fleet.start_application(server, listen=member.address)

    def _control(self, name: str, **switches: Any) -> None:
        if self.fleet.members[name].is_running:
            self.fleet.control(name, **switches)

    def _writes(self) -> int:
        calls = self.fleet.record('platform')['calls']
        return sum(
            count
            for call, count in calls.items()
            if call == 'POST /table/commit'
            or call.startswith('PUT /objects/claims')
        )

    def _received(self) -> int:
        return sum(self.fleet.record(name)['received'] for name in SERVERS)


def run(seed: int, words: list[str]) -> dict[str, Any]:
    """Run the experiment and return its figures."""
    with Fleet() as fleet:
        shop = Shop(fleet)
        shop.start_platform()
        for server in SERVERS:
            shop.add_application(server)
        for host in HOSTS:
            shop.add_host(host)
        shop.fill_table(HOSTS[0])
        time.sleep(SETTLE_S)
        return asyncio.run(_run(shop, seed))


async def _run(shop: Shop, seed: int) -> dict[str, Any]:
    return await Experiment(shop, seed).run()


def _say(phase: str, ends: Counter[str]) -> None:
    sys.stderr.write(f'{phase}: {dict(ends)}\n')
