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
SHORTEST_METHOD = 'GET'


def find_contradictions(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the limits that cannot both be kept, or have no effect."""
    for route in listing.routes:
        yield from _find_in_route(route)
    yield from _find_in_limits(listing.limits)
    yield from _find_small_headers(listing)
    yield from _find_idle_priorities(listing)
    yield from _find_preceded_priorities(listing)


def _find_in_route(route: Route) -> Iterator[Finding]:
    entry = route_entry(route.name)
    if sum(part.weight for part in route.services) <= 0:
        yield _finding(
            'split_without_weight',
            entry,
            'no service of the split has a weight above 0; give one some',
        )
    if any(part.weight < 0 for part in route.services):
        yield _finding(
            'negative_weight', entry, 'a weight is below 0; raise it'
        )
    if route.timeout_s <= 0:
        yield _finding(
            'no_time', entry, 'the time-out leaves no time; raise it'
        )
    elif route.timeout_s < route.latency_target_s:
        yield _finding(
            'timeout_under_target',
            entry,
            f'requests end after {route.timeout_s:g} s, before the latency '
            f'target of {route.latency_target_s:g} s; raise the time-out',
        )
    if route.max_attempts < 1:
        yield _finding('no_attempts', entry, 'no send is allowed; allow one')
    match route.policy:
        case ResumableStream(gap_target_s=gap_target_s):
            if gap_target_s > route.timeout_s:
                yield _finding(
                    'gap_over_timeout',
                    entry,
                    f'a pause of {gap_target_s:g} s is allowed, but requests '
                    f'end after {route.timeout_s:g} s; lower the pause',
                )
        case NonIdempotent() | SingleStream() if route.max_attempts > 1:
            yield _finding(
                'repeats_of_single_run',
                entry,
                f'{route.max_attempts} sends are allowed, but a request may '
                'run once; only refused sends are repeated; allow one',
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
                'limit_of_nothing',
                LIMITS_ENTRY,
                f'{name} is {value:g}; raise it',
            )


def _find_small_headers(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the routes of which the smallest request exceeds the limit."""
    limit = listing.limits.header_bytes
    if limit <= 0:
        return
    shortest_key = min(
        (
            len(key.encode())
            for account in listing.accounts or ()
            for key in account.keys
        ),
        default=0,
    )
    for route in listing.routes:
        needed = len(f'{SHORTEST_METHOD} {route.prefix} HTTP/1.1'.encode())
        needed += len(f'Host: {route.host}'.encode())
        if shortest_key and not route.public:
            needed += len('Authorization: Bearer ') + shortest_key
        if needed > limit:
            yield _finding(
                'headers_over_limit',
                route_entry(route.name),
                f'its requests have at least {needed} bytes of headers, but '
                f'{limit} are allowed; raise maxHeaderBytes',
            )


def _find_preceded_priorities(
    listing: ConfigurationListing,
) -> Iterator[Finding]:
    """Yield the routes whose priority that of each client account precedes."""
    accounts = [account for account in listing.accounts or () if account.keys]
    if not accounts or any(account.priority is None for account in accounts):
        return
    for route in listing.routes:
        if route.priority and not route.public:
            yield _finding(
                'priority_without_effect',
                route_entry(route.name),
                'each client account has a priority, which precedes '
                f'{route.priority} of the route; remove one of them',
            )


def _find_idle_priorities(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the services at which priorities set nothing apart."""
    if listing.malformed_priorities:
        yield _finding(
            'malformed_priorities',
            'priorities',
            f'{listing.malformed_priorities} are no integers and are dropped; '
            'correct them',
        )
    for name, found in listing.configuration().urgencies.by_service.items():
        if len(found) == 1 and found != (0,):
            yield _finding(
                'priority_without_effect',
                service_entry(name),
                f'all requests to it have priority {found[0]}, '
                'so none goes before another; remove the priorities',
            )


def _finding(code: str, entry: str, message: str) -> Finding:
    return Finding(Kind.contradiction, code, entry, message)
