"""What becomes of a roll-out when hosts that decide or report are lost."""

import pytest

from celerywharf.rollouts import Arrivals
from tests.rollouts.fleets import Version
from tests.rollouts.zoned_fleets import ZONES, ZonedFleet

SEEDS = range(1, 5)
GOOD = Version()
BAD_AT_THE_END = Version(failing=0.9, from_s=10)
PERIOD_S = 12
# Until another host decides and knows the counts of all others.
TAKEOVER_S = 2


@pytest.mark.parametrize('zones', [2, 3])
@pytest.mark.parametrize('hosts', [3, 30])
@pytest.mark.parametrize(
    ('stage', 'after_s'), [('trial', 2), ('trial', 7), ('moving', 0.5)]
)
def test_a_good_version_is_done_without_its_decider(
    zones, hosts, stage, after_s
):
    """Another host goes on, also if the whole zone of the first is lost."""
    for seed in SEEDS:
        fleet = ZonedFleet(seed, hosts, GOOD, rate=40, zones=ZONES[:zones])
        fleet.at(1, fleet.kill_decider_at, stage, after_s)
        fleet.run(PERIOD_S + TAKEOVER_S + 1)
        assert fleet.stage == 'done', seed
        assert fleet.done_s <= PERIOD_S + TAKEOVER_S, seed
        assert fleet.is_within_bounds


@pytest.mark.parametrize('lost_s', [2, 8])
def test_a_good_version_is_done_in_time_without_a_zone(lost_s):
    """A zone that is gone is not waited for."""
    done = []
    for seed in range(1, 21):
        fleet = ZonedFleet(seed, 12, GOOD, rate=40)
        fleet.at(lost_s, fleet.kill_zone_without_decider)
        fleet.run()
        if fleet.stage != 'rolled_back':
            done.append(fleet.done_s)
    assert len(done) >= 18  # one good version in twenty is rolled back
    assert max(done) <= PERIOD_S + 0.3


def test_done_waits_for_counts_that_come_soon():
    """A short pause of a zone's reports does not leave its counts out."""
    pause_s = 2.2
    for seed in SEEDS:
        fleet = ZonedFleet(seed, 12, GOOD, rate=40)
        fleet.at(PERIOD_S - 2, fleet.pause_reports, pause_s)
        fleet.run(PERIOD_S + TAKEOVER_S)
        assert PERIOD_S - 2 + pause_s <= fleet.done_s, seed
        assert fleet.done_s <= PERIOD_S + TAKEOVER_S, seed


@pytest.mark.parametrize('hosts', [3, 30])
@pytest.mark.parametrize('killed_s', [2, 5, 8, 10.5])
def test_exposure_holds_without_the_decider(hosts, killed_s):
    """The next host keeps to what the first one left."""
    for seed in SEEDS:
        fleet = ZonedFleet(seed, hosts, BAD_AT_THE_END, skew=1)
        fleet.at(killed_s, fleet.kill_decider)
        fleet.run()
        assert fleet.is_within_bounds, (seed, fleet.exposed, fleet.requests)


def test_two_readers_of_a_zone_do_not_replace_each_other():
    """One of them learns from the row of the zone that it is replaced."""
    for seed in SEEDS:
        fleet = ZonedFleet(seed, 6, GOOD, rate=40, zones=ZONES[:2])
        fleet.at(8, fleet.replace_reader)
        fleet.at(9, fleet.kill_zone_of_decider)
        fleet.run(PERIOD_S + TAKEOVER_S)
        takeovers = [step for _, step in fleet.steps if 'host' in step.reason]
        assert len(takeovers) == 1, seed
        assert fleet.done_s <= PERIOD_S + TAKEOVER_S, seed


def test_counts_of_a_source_that_joins_have_not_just_arrived():
    """Requests since the order are no requests of the last seconds."""
    arrivals = Arrivals()
    arrivals.record('north-1', 500, 10, counted_s=0.75)
    arrivals.record('north-1', 800, 10.5, counted_s=0.75)
    assert arrivals.total == 0
    arrivals.record('north-1', 820, 11, counted_s=0.75)
    assert arrivals.total == 20
    arrivals.record('f1', 300, 11)
    arrivals.record('f1', 301, 11)
    assert arrivals.total == 21
    arrivals.record('f1', 100, 12)
    arrivals.record('f1', 104, 12)
    assert arrivals.total == 25
