"""Shares, limits and useful work when several hosts admit requests together.

There are two zones of hosts and engines.  All figures come from the engines'
records and load reports and from the callers, none from the hosts.

Figures:
    share_error_max: largest relative error of a client account's part of
        the tokens while three accounts of weights 1, 2 and 5 request more
        than the capacity, the account with the least weight the most.
    limit_excess_max: largest number of requests above the limit that an
        account with a limit of 3 for each engine had running on one.
    useful_work_ratio: tokens of requests that were complete within their
        deadline at twice the capacity, over the tokens that the engines
        generate when every slot is always busy.
    useful_work_ratio_least_loaded: the same for plain least-loaded routing
        by the engines' load reports, with the same requests and in the same
        run.
    engine_speed: tokens that the engines generated under least-loaded
        routing, over their nominal capacity; less than 1 on a busy machine.
    busy_ratio: tokens generated under the product's routing, useful or not,
        over those generated under least-loaded routing.
    refused, late: requests at twice the capacity that were refused, and that
        were accepted but not complete in time.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from bench.crowds import LoadGenerator, Outcome, Request
from bench.rigs import SERVICE, Place, Rig
from bench.rivals import LeastLoaded
from bench.zones import OPERATOR_AUTH
from standins.calls import call
from standins.launching import Fleet

SLOTS = 8
INTERVAL_MS = 20
MS_PER_S = 1000
ENGINES = ('e1', 'e2')
CAPACITY_TOKENS_S = len(ENGINES) * SLOTS * MS_PER_S / INTERVAL_MS
WEIGHTS = {'small': 1, 'middle': 2, 'large': 5}
LIMITED_ACCOUNT = 'limited'
REQUEST_LIMIT = 3
OPEN_ACCOUNT = 'open'
UNLIMITED = 1000
IN_FLIGHT = {'small': 60, 'middle': 20, 'large': 30}
TOKENS = 25
DEADLINE_S = 2.0
ADMISSION_DEADLINE_S = 1.4
LOAD_REPORT_LAG_MS = 500
OK = 200
LOAD_POLL_S = 0.05
WARM_UP_S = 3.0
SHARE_WINDOW_S = 9.0
LIMIT_WINDOW_S = 3.0
OVERLOAD_WARM_UP_S = 1.0
OVERLOAD_WINDOW_S = 6.0
PAUSE_S = 1.0
PLACES = (Place(), Place(availability_zone='zone-a2'))


@dataclass(frozen=True, slots=True)
class Window:
    """Results of a period with requests at twice the capacity.

    Attributes:
        outcomes: outcomes of the requests that ended within it.
        generated: tokens that the engines generated within it.
    """

    outcomes: list[Outcome]
    generated: int

    @property
    def useful(self) -> int:
        """Number of tokens of the requests that were complete in time."""
        return sum(outcome.in_time for outcome in self.outcomes) * TOKENS


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Measure shares, limits and overload one after the other."""
    with Fleet() as fleet:
        rig, hosts = _start(fleet)
        return asyncio.run(_measure(rig, hosts, seed))


def _start(fleet: Fleet) -> tuple[Rig, list[str]]:
    rig = Rig.start(fleet)
    for engine, engine_place in zip(ENGINES, PLACES, strict=True):
        rig.add_engine(
            engine,
            engine_place,
            capacity=SLOTS,
            token_interval_ms=INTERVAL_MS,
            load_report_lag_ms=LOAD_REPORT_LAG_MS,
        )
    for account, weight in WEIGHTS.items():
        rig.add_account(account, weight, UNLIMITED)
    rig.add_account(LIMITED_ACCOUNT, 1, REQUEST_LIMIT)
    rig.add_account(OPEN_ACCOUNT, 1, UNLIMITED)
    hosts = [
        rig.add_host(f'{name}-{number}', place)
        for number, place in enumerate(PLACES)
        for name in ('host-a', 'host-b')
    ]
    rig.fill_table(hosts[0])
    time.sleep(2)
    return rig, hosts


async def _measure(rig: Rig, hosts: list[str], seed: int) -> dict[str, Any]:
    generator = LoadGenerator(hosts, random.Random(seed))
    share_error = await _measure_shares(rig, generator)
    sys.stderr.write(f'share error {share_error}\n')
    excess = await _measure_limit(rig, generator)
    sys.stderr.write(f'limit excess {excess}\n')
    _set_deadline(hosts[0])
    await asyncio.sleep(PAUSE_S)
    product = await _measure_overload(rig, generator.send, seed)
    router = LeastLoaded(
        [rig.fleet.members[name].address for name in ENGINES],
        random.Random(seed),
    )
    async with router:
        least_loaded = await _measure_overload(rig, router.send, seed)
    nominal = CAPACITY_TOKENS_S * OVERLOAD_WINDOW_S
    # Least-loaded routing keeps every slot busy, so the tokens generated under
    # it are the most that the engines can generate on this machine.
    return {
        'share_error_max': share_error,
        'limit_excess_max': excess,
        'useful_work_ratio': round(product.useful / least_loaded.generated, 3),
        'useful_work_ratio_least_loaded': round(
            least_loaded.useful / least_loaded.generated, 3
        ),
        'engine_speed': round(least_loaded.generated / nominal, 3),
        'busy_ratio': round(product.generated / least_loaded.generated, 3),
        'requests': len(product.outcomes),
        'refused': sum(not outcome.accepted for outcome in product.outcomes),
        'late': sum(
            outcome.accepted and not outcome.in_time
            for outcome in product.outcomes
        ),
        'late_least_loaded': sum(
            not outcome.in_time for outcome in least_loaded.outcomes
        ),
    }


def _set_deadline(address: str) -> None:
    """Limit how long the service's requests wait for admission.

    A request admitted later would rarely be complete within `DEADLINE_S`.
    """
    path = f'/operator/table/service/{SERVICE}'
    row = call(address, 'GET', path, headers=OPERATOR_AUTH)[1]
    row['fields']['deadline_s'] = ADMISSION_DEADLINE_S
    status, body = call(address, 'PUT', path, row, OPERATOR_AUTH)
    if status != OK:
        raise ConnectionError(str(body))


async def _measure_shares(rig: Rig, generator: LoadGenerator) -> float:
    async with generator.keep_in_flight(IN_FLIGHT):
        await asyncio.sleep(WARM_UP_S)
        before = _tokens_by_account(rig)
        await asyncio.sleep(SHARE_WINDOW_S)
        generated = _tokens_by_account(rig)
    generated.subtract(before)
    total = sum(generated[account] for account in WEIGHTS)
    parts = sum(WEIGHTS.values())
    errors = [
        abs(generated[account] / total * parts / weight - 1)
        for account, weight in WEIGHTS.items()
    ]
    await asyncio.sleep(PAUSE_S)
    return round(max(errors), 4)


async def _measure_limit(rig: Rig, generator: LoadGenerator) -> int:
    excess = 0
    peak_running = 0
    async with generator.keep_in_flight({LIMITED_ACCOUNT: 30}):
        window_end_s = time.monotonic() + LIMIT_WINDOW_S
        while time.monotonic() < window_end_s:
            await asyncio.sleep(LOAD_POLL_S)
            running = max(_running(rig, name) for name in ENGINES)
            peak_running = max(peak_running, running)
            excess = max(excess, running - REQUEST_LIMIT)
    if not peak_running:
        raise RuntimeError('no limited request ran')
    await asyncio.sleep(PAUSE_S)
    return excess


async def _measure_overload(
    rig: Rig,
    send: Callable[[Request], Awaitable[Outcome]],
    seed: int,
) -> Window:
    """Send requests at twice the capacity and return the results."""
    rng = random.Random(seed)
    window_start_s = time.monotonic() + OVERLOAD_WARM_UP_S
    window_end_s = window_start_s + OVERLOAD_WINDOW_S
    tasks = []
    before: Counter | None = None
    while time.monotonic() < window_end_s:
        request = Request(OPEN_ACCOUNT, rng.random(), TOKENS, DEADLINE_S)
        tasks.append(asyncio.create_task(send(request)))
        await asyncio.sleep(rng.expovariate(2 * CAPACITY_TOKENS_S / TOKENS))
        if before is None and time.monotonic() > window_start_s:
            before = await asyncio.to_thread(_tokens_by_account, rig)
    generated = await asyncio.to_thread(_tokens_by_account, rig)
    outcomes = await asyncio.gather(*tasks)
    await asyncio.sleep(PAUSE_S)
    in_window = [
        outcome
        for outcome in outcomes
        if window_start_s <= outcome.ended_s < window_end_s
    ]
    return Window(in_window, generated.total() - before.total())


def _tokens_by_account(rig: Rig) -> Counter:
    generated: Counter = Counter()
    for name in ENGINES:
        for recorded in rig.fleet.record(name)['runs']:
            # A run that has just started has no token count in the record yet.
            generated[recorded['client_account']] += recorded.get(
                'decode_tokens', 0
            )
    return generated


def _running(rig: Rig, name: str) -> int:
    """Return the number of the limited account's requests at an engine."""
    report = call(rig.fleet.members[name].address, 'GET', '/v1/load')[1]
    return sum(
        attempt['client_account'] == LIMITED_ACCOUNT
        for attempt in report['attempts']
    )
