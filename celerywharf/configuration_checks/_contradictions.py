"""Finds limits of a configuration that contradict each other."""

from __future__ import annotations

import math
from collections.abc import Iterator

from celerywharf.configuration_checks._findings import (
    Finding,
    Kind,
    route_entry,
    service_entry,
)
from celerywharf.routing import (
    ClientLimits,
    ConfigurationListing,
    NonIdempotent,
    ResumableStream,
    Route,
    SingleStream,
)

LIMITS_ENTRY = 'limits'


def find_contradictions(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the limits that cannot both be kept, or have no effect."""
    for route in listing.routes:
        yield from _find_in_route(route)
    yield from _find_in_limits(listing.limits)
    yield from _find_idle_priorities(listing)


def _find_in_route(route: Route) -> Iterator[Finding]:
    entry = route_entry(route.name)
    if sum(part.weight for part in route.services) <= 0:
        yield _finding(
            'split_without_weight',
            entry,
            'no service of the split has a weight above 0',
        )
    if any(part.weight < 0 for part in route.services):
        yield _finding('negative_weight', entry, 'a weight is below 0')
    if route.timeout_s <= 0:
        yield _finding('no_time', entry, 'the time-out leaves no time')
    elif route.timeout_s < route.latency_target_s:
        yield _finding(
            'timeout_under_target',
            entry,
            f'requests end after {route.timeout_s:g} s, before the latency '
            f'target of {route.latency_target_s:g} s',
        )
    if route.max_attempts < 1:
        yield _finding('no_attempts', entry, 'no send is allowed')
    match route.policy:
        case ResumableStream(gap_target_s=gap_target_s):
            if gap_target_s > route.timeout_s:
                yield _finding(
                    'gap_over_timeout',
                    entry,
                    f'a pause of {gap_target_s:g} s is allowed, but requests '
                    f'end after {route.timeout_s:g} s',
                )
        case NonIdempotent() | SingleStream() if route.max_attempts > 1:
            yield _finding(
                'repeats_of_single_run',
                entry,
                f'{route.max_attempts} sends are allowed, but a request may '
                'run once; only refused sends are repeated',
            )


def _find_in_limits(limits: ClientLimits) -> Iterator[Finding]:
    named = {
        'header_bytes': limits.header_bytes,
        'body_bytes': limits.body_bytes,
        'header_timeout_s': limits.header_timeout_s,
        'idle_timeout_s': limits.idle_timeout_s,
    }
    for name, value in named.items():
        if not (value > 0 and math.isfinite(value)):
            yield _finding(
                'limit_of_nothing', LIMITS_ENTRY, f'{name} is {value:g}'
            )


def _find_idle_priorities(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the services at which priorities set nothing apart."""
    if listing.malformed_priorities:
        yield _finding(
            'malformed_priorities',
            'priorities',
            f'{listing.malformed_priorities} are no integers and are dropped',
        )
    for name, found in listing.configuration().urgencies.by_service.items():
        if len(found) == 1 and found != (0,):
            yield _finding(
                'priority_without_effect',
                service_entry(name),
                f'all requests to it have priority {found[0]}, '
                'so none goes before another',
            )


def _finding(code: str, entry: str, message: str) -> Finding:
    return Finding(Kind.contradiction, code, entry, message)
