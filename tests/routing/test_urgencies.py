"""Urgency at engines, from the priorities of routes and client accounts."""

import itertools

import pytest

from celerywharf.routing import (
    ResumableStream,
    Route,
    WeightedService,
    collect_urgencies,
)

SERVICE = 'narrator'
OTHER = 'translator'


def make_route(priority, *, service=SERVICE, public=False):
    return Route(
        name=f'r{priority}',
        host='h',
        prefix='/',
        policy=ResumableStream(0.7),
        timeout_s=25,
        latency_target_s=4,
        priority=priority,
        services=(WeightedService(service, 1),),
        max_attempts=5,
        public=public,
    )


def urgency_of(urgencies, route, account=None):
    priority = urgencies.priority(route, account)
    return urgencies.urgency(route.services[0].service, priority)


def test_engines_are_told_nothing_where_all_requests_are_equally_urgent():
    routes = [make_route(3), make_route(3), make_route(1, service=OTHER)]
    urgencies = collect_urgencies(routes, {})
    assert {urgency_of(urgencies, route) for route in routes} == {None}


@pytest.mark.parametrize(
    'priorities',
    [(0, 2), (-7, 0, 10**30), tuple(range(5)), tuple(range(0, 100, 7))],
    ids=str,
)
def test_a_burst_of_less_urgent_requests_goes_behind_all_that_are_more_urgent(
    priorities,
):
    routes = [make_route(priority) for priority in priorities]
    urgencies = collect_urgencies(routes, {})
    for urgent, less in itertools.pairwise(routes):
        assert urgency_of(urgencies, urgent) <= urgency_of(urgencies, less)
    first, last = routes[0], routes[-1]
    assert urgency_of(urgencies, first) == 0
    assert 0 < urgency_of(urgencies, last) <= 9


def test_the_priority_of_a_client_account_precedes_that_of_the_route():
    routes = [make_route(0), make_route(2)]
    urgencies = collect_urgencies(routes, {'clinic': 0, 'batch': 5})
    assert urgency_of(urgencies, routes[1], 'clinic') == urgency_of(
        urgencies, routes[0], 'other'
    )
    assert urgency_of(urgencies, routes[0], 'batch') > urgency_of(
        urgencies, routes[1], 'other'
    )


def test_priorities_of_accounts_count_only_where_keys_are_required():
    public, keyed = make_route(2, service=OTHER, public=True), make_route(2)
    urgencies = collect_urgencies([public, keyed], {'clinic': 0})
    assert urgency_of(urgencies, public) is None
    assert urgency_of(urgencies, keyed, 'clinic') == 0
    assert urgency_of(urgencies, keyed, 'other') == 1


def test_a_priority_that_a_later_configuration_dropped_still_has_an_urgency():
    urgencies = collect_urgencies([make_route(0), make_route(2)], {})
    assert urgency_of(urgencies, make_route(1)) == 1
    assert urgency_of(urgencies, make_route(9)) == 1
