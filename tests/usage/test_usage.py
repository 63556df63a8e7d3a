"""Usage is counted once and idle time is split by the table's weights."""

import asyncio
import types

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.rigs import (
    ACCOUNT,
    OPERATOR_KEY,
    Place,
    Rig,
    caller_headers,
    completion,
)
from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.tables import Catalogue, Row, RowKind
from celerywharf.timers import TimerService
from celerywharf.usage import EngineUse, IdleTime, UsageLine, split_idle
from celerywharf.usage.batches import UsageKeeper, unpack
from standins.calls import call

scenarios('usage.feature')

RUNS = 5
# There are 19 intervals of 10 ms between the first and last token of a run.
MIN_RUN_S = 0.19


@pytest.fixture
def lines():
    return []


@given(parsers.parse('the weights "{text}"'), target_fixture='catalogue')
@given('the weights ""', target_fixture='catalogue')
def _weights(text=''):
    catalogue = Catalogue()
    for number, item in enumerate(filter(None, text.split(', ')), start=1):
        key, _, weight = item.partition('=')
        server, _, account = key.partition(':')
        fields = {
            'backend_server': server,
            'client_account': account,
            'weight': float(weight),
            'limit': 5,
        }
        catalogue.apply([Row(RowKind.share, key, 1, number, fields)])
    return catalogue


@when(
    parsers.parse('e1 is idle for {first:g} s and e2 is idle for {second:g} s')
)
def _idle_time(lines, first, second):
    lines.append(UsageLine('', 'e1', idle_seconds=first))
    lines.append(UsageLine('', 'e2', idle_seconds=second))


@when(
    parsers.parse(
        '{account} uses {server} for {seconds:g} s with {tokens:d} tokens'
    )
)
def _engine_use(lines, account, server, seconds, tokens):
    lines.append(
        UsageLine(account, server, engine_seconds=seconds, tokens=tokens)
    )


@then(parsers.parse('the costs are "{expected}"'))
def _costs(lines, catalogue, expected):
    costs = [
        f'{cost.client_account} {cost.engine_seconds:g}+'
        f'{cost.idle_seconds:g} s {cost.tokens} tokens'
        for cost in split_idle(lines, catalogue)
    ]
    assert ', '.join(costs) == expected


class FakeStore:
    """An object store whose first 3 calls fail, with or without an effect."""

    def __init__(self, *, stores_despite_faults):
        self.faults = 3
        self.stores_despite_faults = stores_despite_faults
        self.objects = {}

    async def put_object(self, name, content, only_if_absent):
        assert only_if_absent
        if self.faults == 0 or self.stores_despite_faults:
            self.objects.setdefault(name, content)
        if self.faults:
            self.faults -= 1
            raise PlatformUnavailableError('down')


@given(
    parsers.parse('an object store that {fault} the first 3 times'),
    target_fixture='store',
)
def _store(fault):
    return FakeStore(stores_despite_faults=fault != 'refuses')


@when('usage is added before and after each of 5 flushes')
def _add_usage(store):
    asyncio.run(_add_and_flush(store))


async def _add_and_flush(store):
    identity = types.SimpleNamespace(name='a', incarnation=1)
    timers = TimerService()
    timers.wall = lambda: 7200
    usage_keeper = UsageKeeper(
        types.SimpleNamespace(platform=store, identity=identity, timers=timers),
    )
    for _ in range(5):
        usage_keeper.post(EngineUse('lake', 'e1', 1, 10))
        await usage_keeper.flush()
        usage_keeper.post(IdleTime('e1', 2))


@then('the stored sum equals what was added')
def _stored_sum(store):
    stored = [
        line for batch in store.objects.values() for line in unpack(batch)
    ]
    assert sum(line.engine_seconds for line in stored) == 5
    assert sum(line.tokens for line in stored) == 50
    assert sum(line.idle_seconds for line in stored) == 8


@given(
    'an engine, two hosts and an account with a weight',
    target_fixture='rig',
)
def _rig(fleet):
    rig = Rig.start(fleet)
    rig.add_engine('engine-0', Place(), token_interval_ms=10)
    share = {
        'backend_server': '*',
        'client_account': ACCOUNT,
        'weight': 1,
        'limit': 9,
    }
    rig.rows.append(
        {'kind': 'share', 'key': f'*:{ACCOUNT}', 'version': 0, 'fields': share},
    )
    listens = [rig.add_host(name, Place()) for name in ('host-a', 'host-b')]
    rig.fill_table(listens[0])
    return rig, listens


@when(
    'host-a runs 5 generations of 20 tokens and is stopped',
)
def _run_generations(rig):
    rig, listens = rig
    body = {**completion('p', 20), 'stream': False}
    for _ in range(RUNS):
        status, answer = call(
            listens[0],
            'POST',
            '/v1/completions',
            body,
            caller_headers(),
        )
        assert (status, answer['usage']['completion_tokens']) == (200, 20)
    rig.fleet.stop('host-a')


@then(
    "host-b reports 100 tokens for the account, as the engine's own record",
    target_fixture='cost',
)
def _tokens(rig):
    rig, listens = rig
    runs = rig.fleet.record('engine-0')['runs']
    assert sum(len(run['tokens']) for run in runs) == 100
    headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
    _, answer = call(listens[1], 'GET', '/operator/usage', headers=headers)
    costs = {cost['client_account']: cost for cost in answer['accounts']}
    assert costs[ACCOUNT]['tokens'] == 100
    return costs[ACCOUNT]


@then("its engine time covers the engine's 5 runs")
def _engine_time(cost):
    assert cost['engine_seconds'] >= RUNS * MIN_RUN_S


@then('idle time is charged to the account')
def _idle_charged(cost):
    assert cost['idle_seconds'] > 0
