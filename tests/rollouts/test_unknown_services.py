"""Orders for services that the configuration does not have."""

import asyncio
import json
import time
import types
from collections import Counter
from random import Random

import pytest

from celerywharf.backends import Directory
from celerywharf.fronts._rollout_orders import OrderReader
from celerywharf.metrics import Metrics
from celerywharf.platform import Row
from celerywharf.rollouts import RolloutRegister, RolloutStep
from celerywharf.routing import AnswerTiming, ConfigurationCache
from celerywharf.sharing import RolloutExchange, StoredSteps
from celerywharf.wire.rollouts import RolloutAnswer
from tests.rollouts.fleets import BOUNDS, SERVICE
from tests.virtual_loop import run_virtually

WATCHED_S = 60
LEASE_S = 5
ORDER = {'service': SERVICE, 'to': 'v2', 'periodS': 10}
ROW = Row(f'rollout/{SERVICE}', json.dumps(ORDER).encode(), False, 7)


class Configuration:
    """Stands for the cache of the configuration."""

    configuration = object()

    def __init__(self, *services):
        self.services = set(services)

    def has_service(self, name):
        return name in self.services


class Host:
    """A host that knows orders, and counts its calls."""

    def __init__(self, *, is_reader=True):
        self.calls = Counter()
        self.configuration = Configuration()
        self.register = RolloutRegister(
            Directory(),
            time.monotonic,
            time.monotonic,
            Random(1),
            is_enabled=True,
        )
        self.orders = OrderReader(self.register, self.configuration)
        self.exchange = RolloutExchange(
            types.SimpleNamespace(
                register=self.register,
                store=self,
                steps=StoredSteps(self.register, Metrics()),
                bounds=BOUNDS,
                forget_counts=int,
                attend=self.attend,
            ),
            types.SimpleNamespace(
                server=types.SimpleNamespace(subscribe=lambda *_: None),
                client=self,
                election=types.SimpleNamespace(
                    reader=types.SimpleNamespace(address=None)
                ),
                lending=types.SimpleNamespace(
                    share=types.SimpleNamespace(zone_hosts=20)
                ),
                is_reader=is_reader,
                configuration_cache=ConfigurationCache(LEASE_S),
            ),
            Random(1),
        )

    async def attend(self):
        self.calls['attend'] += 1

    async def read(self, table):
        return self.no_rows()

    async def watch(self, table, position, wait_s):
        self.calls['watch'] += 1
        await asyncio.sleep(wait_s)
        return self.no_rows()

    def no_rows(self):
        now_s = time.monotonic()
        timing = AnswerTiming(now_s, now_s, now_s)
        return types.SimpleNamespace(rows=[], position=1, timing=timing)

    async def request(self, address, question, timeout_s):
        self.calls['request'] += 1
        return RolloutAnswer([], 0)

    def hear(self, *rows, store_s=50):
        self.orders.apply_rows(list(rows), is_whole=False, store_s=store_s)

    def run(self, *rows, services=()):
        """Count the calls of a minute after some rows and services came."""

        async def watch():
            self.exchange.start()
            await asyncio.sleep(1)
            self.configuration.services.update(services)
            self.hear(*rows)
            self.calls.clear()
            await asyncio.sleep(WATCHED_S)
            await self.exchange.stop()

        run_virtually(watch)
        return self.calls


@pytest.mark.parametrize('is_reader', [True, False])
def test_an_order_for_an_unknown_service_costs_no_calls(is_reader):
    assert not Host(is_reader=is_reader).run(ROW)


@pytest.mark.parametrize(
    ('is_reader', 'call', 'least'),
    [(True, 'watch', 100), (True, 'attend', 200), (False, 'request', 100)],
)
def test_an_order_for_a_known_service_is_followed(is_reader, call, least):
    calls = Host(is_reader=is_reader).run(ROW, services=(SERVICE,))
    assert calls[call] >= least


def test_an_order_is_followed_at_once_when_its_service_appears():
    host = Host()
    host.hear(ROW, store_s=50)
    assert not host.register.is_active
    assert not host.register.orders()
    host.exchange.changed.clear()
    host.configuration.services.add(SERVICE)
    host.hear(store_s=90)
    (order,) = host.register.orders()
    assert (order.to, order.version) == ('v2', 7)
    assert order.ordered_s == 90
    assert host.exchange.changed.is_set()


def test_a_service_that_goes_and_comes_back_keeps_its_step_and_counts():
    host = Host()
    host.configuration.services.add(SERVICE)
    host.hear(ROW, store_s=50)
    step = RolloutStep(SERVICE, 'v2', 7, 10, 50, share=0.1)
    host.register.learn_step(step, 8)
    host.register.record_request(SERVICE)
    host.configuration.services.clear()
    host.hear(store_s=52)
    assert not host.register.is_active
    host.configuration.services.add(SERVICE)
    host.hear(store_s=54)
    (order,) = host.register.orders()
    assert order.ordered_s == 50
    (tally,) = host.register.tallies()
    assert tally.requests == 1


def test_an_unknown_service_is_logged_once(caplog):
    host = Host()
    for _ in range(3):
        host.hear(ROW)
    messages = [record.message for record in caplog.records]
    assert messages.count('roll-out of an unknown service') == 1
