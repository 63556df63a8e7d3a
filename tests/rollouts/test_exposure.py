"""Exposure and verdicts over histories, counted apart from the decision.

``ROLLOUT_SEED`` and ``ROLLOUT_HISTORIES`` play more of them.
"""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.rollouts.fleets import BOUNDS, Fleet, Version

FIRST_SEED = int(os.environ.get('ROLLOUT_SEED', '1'))
HISTORIES = int(os.environ.get('ROLLOUT_HISTORIES', '20'))
SEEDS = range(FIRST_SEED, FIRST_SEED + HISTORIES)
GOOD = Version()
BAD = {
    'at once': Version(failing=0.5),
    'later': Version(failing=0.5, from_s=6),
    'at the end': Version(failing=0.9, from_s=10),
    'on one route': Version(failing=0.6, route='look'),
    'on a rare route': Version(failing=0.6, route='rare'),
    'slow': Version(slower=4),
    'slow later': Version(slower=4, from_s=7),
}

versions = st.one_of(
    st.sampled_from(sorted(BAD)).map(BAD.__getitem__),
    st.builds(
        Version,
        failing=st.sampled_from((0.1, 0.3, 1)),
        slower=st.sampled_from((1, 3, 8)),
        from_s=st.floats(0, 14),
        route=st.sampled_from((None, 'buy', 'look', 'rare')),
    ),
)


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    hosts=st.sampled_from((7, 87, 195)),
    version=versions,
    rate=st.sampled_from((5, 18, 110)),
    skew=st.floats(0, 2),
    period_s=st.sampled_from((12, 25)),
    early=st.booleans(),
    burst=st.tuples(st.floats(0, 10), st.floats(1, 5), st.floats(0.2, 2)),
)
def test_exposure_holds(
    seed, hosts, version, rate, skew, period_s, early, burst
):
    """A bad version gets no more than allowed, whenever it turns bad."""
    fleet = Fleet(seed, hosts, version, rate=rate, skew=skew, period_s=period_s)
    fleet.trouble.bursts = [burst]
    fleet.trouble.early = early
    fleet.run()
    assert fleet.is_within_bounds, (fleet.exposed, fleet.requests, fleet.steps)


@pytest.mark.parametrize('hosts', [7, 87, 195])
def test_exposure_with_lost_deciders(hosts):
    """Each new deciding host keeps to what is left."""
    for seed in SEEDS:
        fleet = Fleet(seed, hosts, BAD['at the end'], skew=1)
        fleet.trouble.restarts_at_s = {3, 6, 9.5, 10.5}
        fleet.run()
        assert fleet.is_within_bounds, (seed, fleet.exposed, fleet.requests)


@pytest.mark.parametrize('hosts', [7, 87])
def test_cut_off_hosts_do_not_raise_their_share(hosts):
    """Hosts that hear nothing after the first step keep its share."""
    for seed in SEEDS:
        fleet = Fleet(seed, hosts, GOOD)
        fleet.at(2, fleet.trouble.cut_off.update, range(0, hosts, 3))
        fleet.run()
        cut_off = [fleet.hosts[number] for number in fleet.trouble.cut_off]
        requests = sum(host.services['desk'].tally.requests for host in cut_off)
        exposed = sum(host.services['desk'].tally.exposed for host in cut_off)
        share = fleet.steps[0][1].share
        assert exposed <= share * requests + len(cut_off), seed
        assert fleet.stage == 'done'


@pytest.mark.parametrize('rate', [18, 110])
@pytest.mark.parametrize('base_failing', [0, 0.02, 0.14])
def test_good_versions_are_done_in_time(rate, base_failing):
    """At most one good version in twenty is rolled back."""
    in_time = 0
    for seed in SEEDS:
        fleet = Fleet(seed, 87, GOOD, rate=rate, skew=1)
        fleet.trouble.base_failing = base_failing
        fleet.run()
        last_s, last = fleet.steps[-1]
        in_time += last.stage == 'done' and last_s <= fleet.order.period_s + 0.2
        assert fleet.is_within_bounds
    assert in_time >= 0.9 * len(SEEDS)


@pytest.mark.parametrize('how', ['at once', 'slow'])
def test_bad_versions_are_rolled_back(how):
    """A version that is bad on most requests is found by few of them."""
    found = 0
    for seed in SEEDS:
        fleet = Fleet(seed, 87, BAD[how], skew=1).run()
        found += fleet.stage == 'rolled_back'
        assert len(fleet.bad_at_s) <= BOUNDS.exposure_slack + 20
    assert found >= 0.9 * len(SEEDS)


@pytest.mark.parametrize('rate', [18, 110])
@pytest.mark.parametrize('from_s', [9.5, 10, 10.5])
def test_versions_that_turn_bad_at_the_end_are_rolled_back(rate, from_s):
    """The answers of the last seconds are known before the last step."""
    found = 0
    for seed in SEEDS:
        version = Version(failing=0.5, from_s=from_s)
        fleet = Fleet(seed, 20, version, rate=rate, skew=1).run()
        found += fleet.stage == 'rolled_back'
        assert fleet.is_within_bounds
    assert found >= 0.5 * len(SEEDS)
