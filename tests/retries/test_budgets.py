"""Limits on retries, with given times and without a network."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from simulation import MAX_SENDS, Load, World

from celerywharf.retries import (
    HostShare,
    RetryBudget,
    RetryClaim,
    RetryPool,
)

scenarios('budgets.feature')

WINDOW_S = 10.0
LOADS = {
    'a failing service': Load(),
    'a failing service with one busy zone': Load(busy='zone'),
    'a failing service with one busy host': Load(busy='host'),
    'a failing service whose lenders die and freeze': Load(lenders_fail=True),
    'a failing service whose hosts restart': Load(hosts_restart=True),
    'a service that fails after a calm time': Load(calm_s=12),
}


@given(
    parsers.parse(
        'a budget of {ratio:g} retries per request plus {fixed:d} within '
        '{window:d} s',
    ),
    target_fixture='budget',
)
def _budget(ratio, fixed, window):
    return RetryBudget(ratio, fixed, window)


@when(
    parsers.parse(
        '{count:d} requests that each need a retry arrive within {span:d} s',
    ),
    target_fixture='allowed',
)
def _many_retries(budget, count, span):
    allowed = 0
    for number in range(count):
        now_s = number * span / count
        budget.record_request('service', now_s)
        allowed += budget.take('service', now_s)
    return allowed


@then(parsers.parse('{count:d} retries are allowed'))
def _allowed(allowed, count):
    assert allowed == count


@then(parsers.parse('at {now:d} s a retry is allowed again'))
def _allowed_at(budget, now):
    assert budget.take('service', now)


@when(parsers.parse('{count:d} retries have been made'))
def _retries_made(budget, count):
    assert all(budget.take('service', 0) for _ in range(count))


@then('a request is not retried')
def _not_retried(budget):
    assert not budget.take('service', 0)


@then(parsers.parse('a stream in progress is retried {count:d} times'))
def _stream_retried(budget, count):
    allowed = [
        budget.take('service', 0, in_progress=True) for _ in range(count + 1)
    ]
    assert allowed == [*(True for _ in range(count)), False]


@given(
    parsers.re(
        r'a lender of (?P<ratio>[\d.]+) retries per request plus '
        r'(?P<fixed>\d+) within 10 s( that opens at (?P<opens>\d+) s)?'
    ),
    target_fixture='pool',
)
def _pool(ratio, fixed, opens):
    return RetryPool(float(ratio), float(fixed), WINDOW_S, float(opens or 0))


@when(
    parsers.parse(
        'a host reports {requests:d} requests and {retries:d} retries'
    )
)
def _report(pool, requests, retries):
    pool.reported = ((requests,), retries)


def _lent(pool, now_s, *, in_progress):
    requests, retries = pool.reported
    count = 0
    while pool.lend(
        RetryClaim('service', requests, retries, in_progress), now_s
    ):
        requests, retries = (), 0
        count += 1
    pool.reported = ((), 0)
    return count


@then(
    parsers.parse(
        'it is lent {others:d} retries for calls, then {streams:d} for streams'
    )
)
def _lends(pool, others, streams):
    assert _lent(pool, 0, in_progress=False) == others
    assert _lent(pool, 0, in_progress=True) == streams


@then(
    parsers.parse(
        'at {now:d} s it is lent {others:d} retries for calls, then '
        '{streams:d} for streams'
    )
)
def _lends_later(pool, now, others, streams):
    assert _lent(pool, now, in_progress=False) == others
    assert _lent(pool, now, in_progress=True) == streams


@given(
    parsers.parse(
        '{hosts:d} hosts in {zones:d} zones share {total:d} retries for '
        'emergencies'
    ),
    target_fixture='shares',
)
def _shares(hosts, zones, total):
    random = Random(5)
    zone_sizes = [
        hosts // zones + (zone < hosts % zones) for zone in range(zones)
    ]
    shares = []
    for size in zone_sizes:
        for _ in range(size):
            share = HostShare(total, zones, WINDOW_S, random)
            share.zone_hosts = size
            shares.append(share)
    return shares


@when(
    parsers.parse('each host tries to continue {streams:d} streams'),
    target_fixture='continued',
)
def _continue(shares, streams):
    return sum(
        share.take(1, in_progress=True)
        for share in shares
        for _ in range(streams)
    )


@then(parsers.parse('between {least:d} and {most:d} of them go on'))
def _continued(continued, least, most):
    assert least <= continued <= most


@given(
    parsers.parse('{hosts:d} hosts in {zones:d} zones'),
    target_fixture='size',
)
def _size(hosts, zones):
    return hosts, zones


@when(
    parsers.parse(
        'one of them has {count:d} requests in 10 s and all of their sends fail'
    ),
    target_fixture='worlds',
)
def _lone_host(size, count):
    world = World(*size, seed=1)
    for _ in range(count):
        world.now_s += WINDOW_S / count
        world.serve(world.limiters[0], MAX_SENDS)
    return [world]


@then(parsers.parse('at least {count:d} retries are made'))
def _not_starved(worlds, count):
    assert len(worlds[0].retries) >= count


@when(
    parsers.parse('they play {count:d} random histories of {load}'),
    target_fixture='worlds',
)
def _play(size, count, load):
    worlds = [World(*size, seed) for seed in range(count)]
    for world in worlds:
        world.play(LOADS[load])
    return worlds


@then('no window has more retries than 0.8 of the requests plus 150')
def _inside(worlds):
    assert all(world.retries for world in worlds)
    excesses = [world.worst_excess() for world in worlds]
    assert max(excesses) <= 0, excesses


def test_a_world_finds_hosts_that_take_too_much():
    world = World(195, 6, seed=1)
    for limiter in world.limiters:
        limiter.budget = RetryBudget(0.72, 10, WINDOW_S)
    world.play(Load())
    assert world.worst_excess() > 0


@pytest.mark.parametrize('in_progress', [True, False])
def test_counts_return_to_the_host_if_no_lender_answers(in_progress):
    world = World(6, 6, seed=1)
    limiter = world.limiters[0]
    limiter.lender.answers_from_s = 100
    for _ in range(3):
        world.serve(limiter, 1)
    world.serve(limiter, MAX_SENDS)
    assert len(world.retries) >= 2
