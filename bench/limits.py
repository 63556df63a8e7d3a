"""Shares, limits and useful work of many hosts that admit together.

Two zones of hosts and engines.  All figures come from the engines' records
and load reports, none from the hosts.

Figures:
    share_error_max: largest relative error of a client account's part of
        the tokens while three accounts of weights 1, 2 and 5 want more than
        there is, the smallest flooding most.
    limit_excess_max: by how many requests an account with a limit of 3 for
        each engine ever exceeded it.
    useful_work_ratio: tokens of requests that were complete within their
        deadline, over what the engines make when every slot is always busy,
        at twice capacity.
    useful_work_ratio_least_loaded: the same requests sent by plain
        least-loaded routing on the engines' own reports, in the same run.
    engine_speed: what they made then over what they should, which says how
        busy the machine was.
    busy_ratio: tokens made under our routing, useful or not, over the same.
    refused, late: requests at twice capacity that were refused at once, and
        that were accepted and not complete in time.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from bench.crowds import Crowd, Outcome, Request
from bench.rigs import SERVICE, Place, Rig
from bench.rivals import LeastLoaded
from bench.zones import OPERATOR
from standins.calls import call
from standins.launching import Fleet

SLOTS = 8
INTERVAL_MS = 20
MS_PER_S = 1000
ENGINES = ('e1', 'e2')
CAPACITY_TOKENS_S = len(ENGINES) * SLOTS * MS_PER_S / INTERVAL_MS
WEIGHTS = {'small': 1, 'middle': 2, 'large': 5}
LIMITED = 'limited'
LIMIT = 3
OPEN = 'open'
UNLIMITED = 1000
IN_FLIGHT = {'small': 60, 'middle': 20, 'large': 30}
TOKENS = 25
DEADLINE_S = 2.0
ADMIT_S = 1.4
LOAD_LAG_MS = 500
OK = 200
LOOK_S = 0.05
WARM_UP_S = 3.0
SHARE_S = 9.0
LIMIT_S = 3.0
OVERLOAD_WARM_UP_S = 1.0
OVERLOAD_S = 6.0
REST_S = 1.0
PLACES = (Place(), Place(availability_zone='zone-a2'))


@dataclass(frozen=True, slots=True)
class Window:
    """What happened while requests came at twice the capacity.

    Attributes:
        outcomes: of the requests that ended meanwhile.
        made: tokens that the engines made meanwhile.
    """

    outcomes: list[Outcome]
    made: int

    @property
    def useful(self) -> int:
        """Return the tokens of requests that were complete in time."""
        return sum(one.in_time for one in self.outcomes) * TOKENS


def run(seed: int, words: list[str]) -> dict[str, Any]:
    """Run the three loads one after the other."""
    with Fleet() as fleet:
        rig, hosts = _start(fleet)
        return asyncio.run(_measure(rig, hosts, seed))


def _start(fleet: Fleet) -> tuple[Rig, list[str]]:
    rig = Rig.start(fleet)
    for engine, zone in zip(ENGINES, PLACES, strict=True):
        rig.add_engine(
            engine,
            zone,
            capacity=SLOTS,
            token_interval_ms=INTERVAL_MS,
            load_report_lag_ms=LOAD_LAG_MS,
        )
    for account, weight in WEIGHTS.items():
        rig.add_account(account, weight, UNLIMITED)
    rig.add_account(LIMITED, 1, LIMIT)
    rig.add_account(OPEN, 1, UNLIMITED)
    hosts = [
        rig.add_host(f'{name}-{number}', place)
        for number, place in enumerate(PLACES)
        for name in ('host-a', 'host-b')
    ]
    rig.fill_table(hosts[0])
    time.sleep(2)
    return rig, hosts


async def _measure(rig: Rig, hosts: list[str], seed: int) -> dict[str, Any]:
    crowd = Crowd(hosts, random.Random(seed))
    share_error = await _shares(rig, crowd)
    sys.stderr.write(f'share error {share_error}\n')
    excess = await _limits(rig, crowd)
    sys.stderr.write(f'limit excess {excess}\n')
    _set_deadline(hosts[0])
    await asyncio.sleep(REST_S)
    ours = await _overload(rig, crowd.send, seed)
    rival = LeastLoaded(
        [rig.fleet.members[name].address for name in ENGINES],
        random.Random(seed),
    )
    async with rival:
        theirs = await _overload(rig, rival.send, seed)
    nominal = CAPACITY_TOKENS_S * OVERLOAD_S
    # The other router keeps every slot busy: what the engines make under it
    # is what this machine lets them make.
    return {
        'share_error_max': share_error,
        'limit_excess_max': excess,
        'useful_work_ratio': round(ours.useful / theirs.made, 3),
        'useful_work_ratio_least_loaded': round(theirs.useful / theirs.made, 3),
        'engine_speed': round(theirs.made / nominal, 3),
        'busy_ratio': round(ours.made / theirs.made, 3),
        'requests': len(ours.outcomes),
        'refused': sum(not one.accepted for one in ours.outcomes),
        'late': sum(one.accepted and not one.in_time for one in ours.outcomes),
        'late_least_loaded': sum(not one.in_time for one in theirs.outcomes),
    }


def _set_deadline(address: str) -> None:
    """Let the service's requests wait no longer than they are worth."""
    path = f'/operator/table/service/{SERVICE}'
    row = call(address, 'GET', path, headers=OPERATOR)[1]
    row['fields']['deadline_s'] = ADMIT_S
    status, body = call(address, 'PUT', path, row, OPERATOR)
    if status != OK:
        raise ConnectionError(str(body))


async def _shares(rig: Rig, crowd: Crowd) -> float:
    async with crowd.flood(IN_FLIGHT):
        await asyncio.sleep(WARM_UP_S)
        before = _tokens(rig)
        await asyncio.sleep(SHARE_S)
        made = _tokens(rig)
    made.subtract(before)
    total = sum(made[account] for account in WEIGHTS)
    parts = sum(WEIGHTS.values())
    errors = [
        abs(made[account] / total * parts / weight - 1)
        for account, weight in WEIGHTS.items()
    ]
    await asyncio.sleep(REST_S)
    return round(max(errors), 4)


async def _limits(rig: Rig, crowd: Crowd) -> int:
    excess = 0
    most = 0
    async with crowd.flood({LIMITED: 30}):
        end_s = time.monotonic() + LIMIT_S
        while time.monotonic() < end_s:
            await asyncio.sleep(LOOK_S)
            running = max(_running(rig, name) for name in ENGINES)
            most = max(most, running)
            excess = max(excess, running - LIMIT)
    if not most:
        raise RuntimeError('no limited request ran')
    await asyncio.sleep(REST_S)
    return excess


async def _overload(
    rig: Rig,
    send: Callable[[Request], Awaitable[Outcome]],
    seed: int,
) -> Window:
    """Send requests at twice the capacity; return what the window showed."""
    rng = random.Random(seed)
    first_s = time.monotonic() + OVERLOAD_WARM_UP_S
    end_s = first_s + OVERLOAD_S
    tasks = []
    before: Counter | None = None
    while time.monotonic() < end_s:
        request = Request(OPEN, rng.random(), TOKENS, DEADLINE_S)
        tasks.append(asyncio.create_task(send(request)))
        await asyncio.sleep(rng.expovariate(2 * CAPACITY_TOKENS_S / TOKENS))
        if before is None and time.monotonic() > first_s:
            before = await asyncio.to_thread(_tokens, rig)
    made = await asyncio.to_thread(_tokens, rig)
    outcomes = await asyncio.gather(*tasks)
    await asyncio.sleep(REST_S)
    inside = [one for one in outcomes if first_s <= one.ended_s < end_s]
    return Window(inside, made.total() - before.total())


def _tokens(rig: Rig) -> Counter:
    made: Counter = Counter()
    for name in ENGINES:
        for each in rig.fleet.record(name)['runs']:
            # A run that has just begun is in the record without its tokens.
            made[each['client_account']] += each.get('decode_tokens', 0)
    return made


def _running(rig: Rig, name: str) -> int:
    """Return how many limited requests an engine reports to work on."""
    report = call(rig.fleet.members[name].address, 'GET', '/v1/load')[1]
    return sum(
        attempt['client_account'] == LIMITED for attempt in report['attempts']
    )
