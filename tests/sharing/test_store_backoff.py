"""Calls of fronts to a store that is down, with given times."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.sharing._store_backoff import StoreBackoff

scenarios('store_backoff.feature')

STEP_S = 0.05
# Two tables, each followed by a loop with a wait like this after a failure.
LOOP_WAITS_S = (0.7, 0.9)
TABLES = 2


class Zone:
    """Fronts that follow two tables each.

    Attributes:
        calls: times of the calls to the store.
    """

    def __init__(self, hosts, *, has_reader):
        self.random = Random(hosts)
        self.has_reader = has_reader
        self.hosts = hosts
        self.backoffs = [StoreBackoff(self.random) for _ in range(hosts)]
        self.loops = [
            (self.random.random(), backoff)
            for backoff in self.backoffs
            for _ in range(TABLES)
        ]
        self.calls = []

    def play(self, start_s, end_s, *, down):
        """Let all loops run; stop at the first answered call."""
        now_s = start_s
        while now_s < end_s:
            now_s += STEP_S
            if any(self._run_loops(now_s, down=down)):
                return

    def _run_loops(self, now_s, *, down):
        """Run the loops that are due; yield whether a call is answered."""
        for index, (due_s, backoff) in enumerate(self.loops):
            if now_s < due_s:
                continue
            wait_s = self.random.uniform(*LOOP_WAITS_S)
            self.loops[index] = (now_s + wait_s, backoff)
            if backoff.due(now_s):
                self.calls.append(now_s)
                yield not down
                backoff.failed(now_s, self.hosts, has_reader=self.has_reader)


@given(
    parsers.parse('{hosts:d} fronts whose reader {reader}'),
    target_fixture='zone',
)
def _zone(hosts, reader):
    return Zone(hosts, has_reader=reader == 'answers')


@when(parsers.parse('the store is down for {span:d} s'))
def _down(zone, span):
    zone.play(0, span, down=True)


@then(parsers.parse('they make at most {count:d} calls to it'))
def _few_calls(zone, count):
    assert len(zone.calls) <= count


@then(parsers.parse('after its return one of them calls it within {span:g} s'))
def _soon(zone, span):
    before = len(zone.calls)
    zone.play(9, 20, down=False)
    assert len(zone.calls) == before + 1
    assert zone.calls[-1] - 9 <= span


@when('a front is answered', target_fixture='answered')
def _answered(zone):
    backoff = zone.backoffs[0]
    assert not backoff.due(9) or backoff.failures
    backoff.answered()
    return backoff


@then('its next call is due at once')
def _due(answered):
    assert answered.due(9)
    assert answered.failures == 0


@pytest.mark.parametrize('hosts', [1, 35, 500])
def test_waits_grow_up_to_the_limit(hosts):
    backoff = StoreBackoff(Random(1))
    for now_s in range(0, 100, 10):
        backoff.failed(now_s, hosts, has_reader=True)
        assert now_s < backoff.next_call_s <= now_s + 4
