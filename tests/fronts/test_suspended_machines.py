"""What a front takes for present after its machine was suspended."""

import asyncio
import time
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from celerywharf import settings
from celerywharf.fronts._context import build_context
from celerywharf.routing import ConfigurationCache
from celerywharf.timers import TimerService
from tests.fronts.test_recovery_windows import SETTINGS
from tests.rollouts.test_rollout_register import (
    MOVING,
    ORDER,
    SERVICE,
    _served,
    _server,
)

REQUESTS = 100
SUSPENDED_S = 5


class Machine:
    """A machine whose steady clock stands still while it is suspended."""

    def __init__(self):
        self.steady_s = 1000.0
        self.suspended_s = 0

    def monotonic(self):
        """Return steady seconds."""
        return self.steady_s

    def clock_gettime(self, _):
        """Return seconds, those of suspensions included."""
        return self.steady_s + self.suspended_s


@pytest.fixture
def machine(monkeypatch):
    machine = Machine()
    monkeypatch.setattr(time, 'monotonic', machine.monotonic)
    monkeypatch.setattr(time, 'clock_gettime', machine.clock_gettime)
    return machine


@pytest.fixture
def context(machine):
    return build_context(
        settings.loads(
            SETTINGS.format(windows='no'), model=settings.FrontSettings
        ),
        SimpleNamespace(),
        TimerService(),
        ConfigurationCache(5),
        Random(1),
    )


def test_a_roll_out_step_confirmed_before_a_suspension_moves_nothing(
    machine, context
):
    register = context.rollouts
    register.is_enabled = True
    for number, version in enumerate(('v1', 'v1', 'v2', 'v2')):
        register.directory.update(_server(number, version), 0)
    register.set_order(SERVICE, replace(ORDER, period_s=60))
    step = replace(MOVING, started_s=1000, period_s=60, move_s=1002, share=0)
    register.learn_step(step, 8)
    register.confirm()
    machine.suspended_s = SUSPENDED_S
    for _ in range(REQUESTS):
        register.record_request(SERVICE)
    assert not _served(register)['v2']


def test_requests_before_a_suspension_allow_no_retries_after_it(
    machine, context
):
    retries = context.retries
    retries.budget.fixed = 0
    retries.lender = None
    retries.share = None
    for _ in range(REQUESTS):
        retries.record_request(SERVICE)
    machine.steady_s += 1
    machine.suspended_s = 3 * retries.budget.window_s

    async def count_taken():
        return sum([await retries.take(SERVICE) for _ in range(REQUESTS)])

    assert not asyncio.run(count_taken())
