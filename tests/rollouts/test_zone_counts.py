"""Counts of zones when several services are rolled out at once."""

from celerywharf.rollouts import ServiceTally
from celerywharf.sharing._rollout_zones import GONE_S, ZoneCounts

ZONES = ('north-1', 'north-2')


def _learn(counts, zone, service, now_s):
    counts.learn(zone, {service: ServiceTally(service, 1)}, now_s)


def test_a_zone_that_is_gone_is_not_waited_for_again_after_another_change():
    counts = ZoneCounts()
    assert not counts.are_complete('desk', ZONES, 0)
    for tenth in range(50):
        _learn(counts, 'north-1', 'desk', tenth / 10)
    assert counts.are_complete('desk', ZONES, 4.9)
    counts.forget_reports('narrator')
    assert counts.are_complete('desk', ZONES, 5)


def test_counts_of_one_service_say_nothing_of_another():
    counts = ZoneCounts()
    for tenth in range(10):
        for zone in ZONES:
            _learn(counts, zone, 'desk', tenth / 10)
    assert counts.are_complete('desk', ZONES, 1)
    assert not counts.are_complete('narrator', ZONES, 1)
    assert counts.are_complete('narrator', ZONES, 1 + GONE_S)
