"""When a host reads the store's clock itself, in virtual time.

A host that had only one late answer kept its estimate for its whole life.
"""

import asyncio
from random import Random

import pytest

from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.platform import ReadResult, boot_time_s
from celerywharf.routing import AnswerTiming, ClockOffset, ConfigurationCache
from celerywharf.sharing._store_clock import (
    MAX_WIDTH_S,
    PAUSE_S,
    keep_clock_known,
)
from tests.virtual_loop import run_virtually

LEASE_S = 5.0
LATE_S = 0.85
CALL_S = 0.01
PLAYED_S = 120.0
ERA = 2


class Store:
    """Answers within a time, or not at all; counts its calls."""

    def __init__(self, *, took_s=CALL_S, answers=True):
        self.took_s = took_s
        self.answers = answers
        self.calls = 0

    async def read_row(self, _table, _zone):
        self.calls += 1
        sent_s = boot_time_s()
        await asyncio.sleep(self.took_s)
        if not self.answers:
            raise PlatformUnavailableError('no answer')
        return ReadResult((), 1, AnswerTiming(sent_s, boot_time_s(), sent_s))


async def play(store, *, relayed_each_s=None, is_set=False):
    """Follow the clock after one late answer; return the cache."""
    cache = ConfigurationCache(LEASE_S)
    now_s = boot_time_s()
    cache.synchronize(AnswerTiming(now_s - LATE_S, now_s, now_s))
    if is_set:
        cache.synchronize(AnswerTiming(0, now_s, 0, relayed=True, era=ERA))
    task = asyncio.create_task(
        keep_clock_known(store, cache, 'north-1', Random(1))
    )
    ends_s = now_s + PLAYED_S
    while boot_time_s() < ends_s:
        if relayed_each_s is not None:
            now_s = boot_time_s()
            bounds = ClockOffset(-LATE_S, LATE_S)
            cache.synchronize(
                AnswerTiming(now_s, now_s, 0, relayed=True, offset=bounds)
            )
        await asyncio.sleep(relayed_each_s or PLAYED_S)
    task.cancel()
    return cache


def test_a_clock_known_from_a_late_answer_is_read_once_more():
    store = Store()
    cache = run_virtually(lambda: play(store))
    # Drift makes it uncertain again.
    assert 1 <= store.calls <= 1 + PLAYED_S * 0.002 / MAX_WIDTH_S
    assert cache.clock.offset.width_s <= MAX_WIDTH_S


def test_a_host_whose_reader_states_the_clock_does_not_read_it():
    store = Store()
    run_virtually(lambda: play(store, relayed_each_s=1))
    assert store.calls == 0


@pytest.mark.parametrize(
    'store', [Store(answers=False), Store(took_s=2 * MAX_WIDTH_S)]
)
def test_a_store_that_cannot_tell_the_clock_is_rarely_called(store):
    run_virtually(lambda: play(store))
    assert 1 <= store.calls <= 1 + PLAYED_S / PAUSE_S


def test_a_clock_that_may_have_been_set_is_read_at_once():
    store = Store(answers=False)
    run_virtually(lambda: play(store, is_set=True))
    assert store.calls > PLAYED_S / PAUSE_S * 10
