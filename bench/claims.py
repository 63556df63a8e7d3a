"""Non-idempotent and idempotent calls through three hosts under faults.

Phases: purchases with idempotency keys while backend servers cut and refuse
calls and the platform loses responses; lookups while a backend server is killed
every 5 s; lookups while half of the backend servers fail (the storm); purchases
while the platform is down, with callers' own keys and with minted keys.
"""

import asyncio
import functools
import random
import sys
import time
from collections import Counter
from typing import Any

from bench.purchases import CallStats, ShopClient, repeat
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
    """Runs the phases one after the other."""

    def __init__(self, shop: Shop, seed: int) -> None:
        self.shop = shop
        self.fleet = shop.fleet
        self.rng = random.Random(seed)
        self.client = ShopClient(shop, seed)
        self.keys = 0
        self.minted: list[str] = []
        self.runs: dict[tuple[Any, ...], dict[str, Any]] = {}

    async def run(self) -> dict[str, Any]:
        """Run all phases and return the figures."""
        claims, writes = await self._run_claims()
        self._collect_runs()
        idempotent = await self._run_kills()
        storm = await self._run_storm()
        own, minted = await self._run_outage()
        self._collect_runs()
        return {
            **self._count_runs((claims, idempotent, own, minted)),
            'platform_writes_per_claim': writes,
            'availability_idempotent': idempotent.availability(),
            'attempts_per_request_storm': storm,
            'availability_platform_down': {
                'claims': own.availability(),
                'minted_keys': minted.availability(),
            },
            'claim_calls': claims.calls,
            'claim_ends': dict(claims.outcomes),
            'claim_ms_p50': claims.percentile_ms(P50),
            'claim_ms_p99': claims.percentile_ms(P99),
        }

    def _collect_runs(self) -> None:
        """Add the runs of running servers; a restart clears their records."""
        for run in self.shop.runs():
            run_id = run['backend_server'], run['id'], run['request_id']
            self.runs[run_id] = run

    def _count_runs(self, all_stats: tuple[CallStats, ...]) -> dict[str, int]:
        ran = Counter((run['path'], run['item']) for run in self.runs.values())
        requests = {run['request_id'] for run in self.runs.values()}
        not_run_ids: set[str] = set().union(
            *(stats.not_run_ids for stats in all_stats)
        )
        return {
            'calls': sum(stats.calls for stats in all_stats),
            'ran': ran.total(),
            'ran_twice': sum(count > 1 for count in ran.values()),
            'false_not_run': len(not_run_ids & requests),
        }

    async def _run_claims(self) -> tuple[CallStats, float]:
        stats = CallStats()
        before = self._claim_writes()
        first_key = self.keys
        buy = functools.partial(self._buy, stats)
        faults = asyncio.ensure_future(self._inject_faults())
        await repeat(CLAIM_CALLERS, CLAIM_S, buy)
        faults.cancel()
        await asyncio.sleep(SETTLE_S)
        writes = self._claim_writes() - before
        _log('claims', stats.outcomes)
        return stats, round(writes / (self.keys - first_key), 3)

    async def _inject_faults(self) -> None:
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

    async def _run_kills(self) -> CallStats:
        stats = CallStats()
        look_up = functools.partial(self.client.look_up, stats)
        killing = asyncio.ensure_future(self._kill_servers())
        await repeat(LOOKUP_CALLERS, KILL_S, look_up)
        killing.cancel()
        for server in SERVERS:
            self._restart(server)
        _log('kills', stats.outcomes)
        return stats

    async def _kill_servers(self) -> None:
        while True:
            server = self.rng.choice(SERVERS)
            await asyncio.sleep(KILL_PERIOD_S - RESTART_S)
            self.fleet.kill(server)
            await asyncio.sleep(RESTART_S)
            self._restart(server)

    async def _run_storm(self) -> float:
        for server in SERVERS[::2]:
            self._control(server, fail_ratio=1)
        stats = CallStats()
        look_up = functools.partial(self.client.look_up, stats)
        before = self._received_calls()
        await repeat(LOOKUP_CALLERS, STORM_S, look_up)
        attempts = self._received_calls() - before
        for server in SERVERS[::2]:
            self._control(server, fail_ratio=0)
        _log('storm', stats.outcomes)
        return round(attempts / stats.calls, 3)

    async def _run_outage(self) -> tuple[CallStats, CallStats]:
        self.minted = await self.client.mint_keys()
        self._control('platform', down=True)
        own, minted = CallStats(), CallStats()
        buy = functools.partial(self._buy_both, own, minted)
        await repeat(OUTAGE_CALLERS, OUTAGE_S, buy)
        self._control('platform', down=False)
        _log('outage, own keys', own.outcomes)
        _log('outage, minted keys', minted.outcomes)
        return own, minted

    async def _buy(self, stats: CallStats) -> None:
        self.keys += 1
        await self.client.purchase(stats, f'key-{self.keys}')

    async def _buy_both(self, own: CallStats, minted: CallStats) -> None:
        await self._buy(own)
        await self.client.purchase(minted, self.minted.pop())
        await asyncio.sleep(OUTAGE_PAUSE_S)

    def _restart(self, server: str) -> None:
        member = self.fleet.members[server]
        if not member.is_running:
            self.fleet.start_application(server, listen=member.address)

    def _control(self, name: str, **switches: Any) -> None:
        if self.fleet.members[name].is_running:
            self.fleet.control(name, **switches)

    def _claim_writes(self) -> int:
        calls = self.fleet.record('platform')['calls']
        return sum(
            count
            for call, count in calls.items()
            if call == 'POST /table/commit'
            or call.startswith('PUT /objects/claims')
        )

    def _received_calls(self) -> int:
        return sum(self.fleet.record(name)['received'] for name in SERVERS)


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Start the system, run all phases and return the figures."""
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


def _log(phase: str, outcomes: Counter[str]) -> None:
    sys.stderr.write(f'{phase}: {dict(outcomes)}\n')
