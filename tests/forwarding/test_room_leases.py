"""Streams of many hosts that compete for the room of engines.

The load: bursts of long prompts that come close to what all engines hold, from
hosts that know only late reports and not each other's sends.
"""

import asyncio

import pytest

from celerywharf.forwarding._leases import LEASE_TERM_S, UNOFFERED_S
from celerywharf.forwarding._rooms import MAX_DENIALS
from tests.forwarding.leasing import (
    CAPACITY_TOKENS,
    OUTPUT_TOKENS,
    PROMPT_TOKENS,
    Fleet,
)
from tests.virtual_loop import run_virtually

HOSTS = (7, 87, 195)
TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
FULL = CAPACITY_TOKENS // TOKENS  # requests that an engine holds at once
BURST_PER_S = 75
SHORT_S = 0.01


def _play(hosts, *, leases, rate_per_s=BURST_PER_S):
    fleet = Fleet(hosts, leases=leases)

    async def main():
        await fleet.play(rate_per_s, 8)
        return fleet.summary()

    return run_virtually(main)


@pytest.mark.parametrize('hosts', HOSTS)
def test_engines_never_hold_more_than_their_memory(hosts):
    summary = _play(hosts, leases=True)
    print(summary)
    assert summary['most_tokens'] <= CAPACITY_TOKENS
    assert not summary['unplaced']
    assert summary['placed_ms'] <= 250


@pytest.mark.parametrize('hosts', HOSTS)
def test_late_reports_alone_let_engines_exceed_their_memory(hosts):
    summary = _play(hosts, leases=False)
    print(summary)
    assert summary['exceeded']


@pytest.mark.parametrize('hosts', HOSTS)
def test_calm_load_finds_room_at_once(hosts):
    summary = _play(hosts, leases=True, rate_per_s=20)
    print(summary)
    assert not summary['without_room']
    assert summary['lease_calls'] <= 1.05 * summary['streams']
    assert summary['placed_ms'] <= 100


def _try(prepare, *, streams=1, engines=1, dies=False):
    """Let one host place streams, one after the other."""
    fleet = Fleet(1, leases=True, engines=engines)
    prepare(list(fleet.engines.values()))

    async def main():
        context = fleet.contexts[0]
        for _ in range(streams):
            task = asyncio.ensure_future(fleet.serve(context, dies=dies))
            await asyncio.sleep(SHORT_S)
        await asyncio.sleep(2 * LEASE_TERM_S)
        held = sum(len(engine.leases) for engine in fleet.engines.values())
        task.cancel()
        return fleet, held

    return run_virtually(main)


def _do_nothing(engines):
    """Leave the engines as they are."""


def test_a_lease_of_a_host_that_dies_ends_by_its_term():
    fleet, held = _try(_do_nothing, dies=True)
    assert fleet.calls['hold-take'] == 1
    assert held == 0


def test_a_lease_whose_answer_is_lost_ends_by_its_term():
    def lose_answers(engines):
        engines[0].loses_answers = True

    fleet, held = _try(lose_answers, engines=2)
    assert held == 0
    assert fleet.waits_s


def test_an_engine_without_the_interface_is_sent_streams_as_before():
    def lack(engines):
        engines[0].offers = False

    fleet, _ = _try(lack, streams=3)
    engine = next(iter(fleet.engines.values()))
    assert engine.served == 3
    assert fleet.calls['hold-take'] == 1
    assert UNOFFERED_S > 1


def test_a_full_engine_is_passed_over_for_the_next():
    def fill(engines):
        engines[0].tokens = CAPACITY_TOKENS

    fleet, _ = _try(fill, engines=2)
    assert [engine.served for engine in fleet.engines.values()] == [0, 1]
    assert not fleet.without_room


def test_a_stream_that_finds_no_room_says_so_after_few_questions():
    def fill(engines):
        for engine in engines:
            engine.tokens = CAPACITY_TOKENS

    fleet, _ = _try(fill, engines=12)
    assert fleet.without_room == 1
    assert fleet.calls['hold-take'] == MAX_DENIALS


@pytest.mark.parametrize('engines', [2, 12])
def test_a_stream_that_may_wait_is_not_sent_without_a_lease(engines):
    fleet = Fleet(1, leases=True, engines=engines)
    for engine in fleet.engines.values():
        engine.tokens = CAPACITY_TOKENS

    async def main():
        stream = fleet.make_stream(fleet.contexts[0])
        stream.placer.room.may_wait = True
        placement = await stream.place()
        return placement, stream.placer.lacks_room

    assert run_virtually(main) == (None, True)
    assert not fleet.contexts[0].loads.requests('e0')


def test_a_lease_that_is_not_used_is_released_at_once():
    fleet = Fleet(1, leases=True, engines=1)

    async def main():
        stream = fleet.make_stream(fleet.contexts[0])
        placement = await stream.place()
        engine = next(iter(fleet.engines.values()))
        assert len(engine.leases) == 1
        stream.drop(placement)
        await asyncio.sleep(SHORT_S)
        assert not engine.leases
        return fleet.contexts[0]

    context = run_virtually(main)
    assert not context.loads.requests('e0')
    assert context.metrics.total('leases') == 2


def test_an_engine_gets_no_more_leases_than_it_has_room_for():
    fleet = Fleet(1, leases=True, engines=1)

    async def main():
        streams = [fleet.make_stream(fleet.contexts[0]) for _ in range(20)]
        found = await asyncio.gather(*(stream.place() for stream in streams))
        return sum(
            placement is not None and placement.lease is not None
            for placement in found
        )

    assert run_virtually(main) == FULL
