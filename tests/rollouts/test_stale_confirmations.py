"""Roll-out hosts that stood still while steps were written."""

import asyncio
import time
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from celerywharf.backends import Directory
from celerywharf.metrics import Metrics
from celerywharf.platform import Position, ReadResult
from celerywharf.rollouts import RolloutRegister
from celerywharf.routing import AnswerTiming, ConfigurationCache
from celerywharf.sharing import RolloutExchange, StoredSteps
from tests.rollouts.fleets import BOUNDS, Version
from tests.rollouts.test_rollout_register import (
    MOVING,
    ORDER,
    SERVICE,
    _served,
    _server,
)
from tests.rollouts.zoned_fleets import ZonedFleet
from tests.virtual_loop import run_virtually

STOP_S = 5
LEASE_S = 5
REQUESTS = 50
STEP = replace(MOVING, started_s=0, period_s=60, move_s=2, share=0)


class StoppedReader:
    """A reader that reads an answer of the store long after it was given.

    Attributes:
        register: follows the steps.
        exchange: reads them from this store.
    """

    def __init__(self, late_s=0):
        # The only answer so far, which told the clock, was read this late.
        now_s = time.monotonic()
        cache = ConfigurationCache(LEASE_S)
        cache.synchronize(AnswerTiming(now_s - late_s, now_s, now_s - late_s))
        directory = Directory()
        for number, version in enumerate(('v1', 'v1', 'v2', 'v2')):
            directory.update(_server(number, version), 0)
        self.register = RolloutRegister(
            directory,
            time.monotonic,
            lambda: cache.store_time_s(time.monotonic()),
            Random(1),
            is_enabled=True,
        )
        control = SimpleNamespace(
            register=self.register,
            store=self,
            steps=StoredSteps(self.register, Metrics()),
            bounds=BOUNDS,
            forget_counts=int,
        )
        shared_store = SimpleNamespace(
            server=SimpleNamespace(subscribe=lambda *_: None),
            is_reader=True,
            configuration_cache=cache,
        )
        self.exchange = RolloutExchange(control, shared_store, Random(1))

    async def watch(self, _table, _position, _wait_s):
        """Return that there is no newer step, as of the begin."""
        sent_s = time.monotonic()
        await asyncio.sleep(STOP_S)
        timing = AnswerTiming(sent_s, time.monotonic(), sent_s)
        return ReadResult((), 1, timing)

    async def follow(self):
        """Read the steps once; return where requests go then."""
        self.register.set_order(SERVICE, replace(ORDER, period_s=60))
        self.register.learn_step(STEP, 8)
        self.exchange.has_begun = True
        self.exchange.position = Position(1, 1)
        await self.exchange._follow()
        for _ in range(REQUESTS):
            self.register.record_request(SERVICE)
        return _served(self.register)


def test_an_answer_given_before_a_stop_confirms_no_step():
    served = run_virtually(lambda: StoppedReader().follow())
    assert not served['v2']


# The step was taken for as old as the clock's first answer was late.
def test_a_clock_told_by_a_late_answer_confirms_no_step_after_a_stop():
    served = run_virtually(lambda: StoppedReader(late_s=STOP_S).follow())
    assert not served['v2']


def _decided_by(control):
    stored = control.steps.rows[SERVICE]
    return stored.step.host


def test_a_stop_of_its_own_is_not_the_silence_of_the_deciding_host():
    fleet = ZonedFleet(1, 6, Version(), rate=40)
    fleet.run(4)
    woken = next(
        reader
        for reader in fleet.readers.values()
        if reader is not fleet.decider_host
    ).control
    decided_by = _decided_by(woken)
    other = woken.others[SERVICE]
    other.heard_s = woken.register.now() - STOP_S
    other.is_role_checked = False
    asyncio.run(woken.attend())
    assert _decided_by(woken) == decided_by
