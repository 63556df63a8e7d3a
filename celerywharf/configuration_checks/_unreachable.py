"""Finds entries of a configuration that no request can match."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Container, Iterable, Iterator, Sequence
from itertools import chain

from celerywharf.configuration_checks._findings import (
    Finding,
    Kind,
    account_entry,
    route_entry,
    service_entry,
)
from celerywharf.configuration_checks._keys import key_name
from celerywharf.routing import (
    ClientAccount,
    ConfigurationListing,
    Route,
    by_host,
)

# What a Host header can hold once its port has been removed.
HOST = re.compile(r"[a-z0-9._~!$&'()*+,;=%-]+|\[[0-9a-f:.]+\]")
# What the path of a request line can hold; its query is not matched.
PREFIX = re.compile('(/[^?#\x00-\x20\x7f]*)?')


def find_unreachable(listing: ConfigurationListing) -> Iterator[Finding]:
    """Yield the entries that have no effect on any request."""
    yield from _find_routes(listing.routes)
    yield from _find_services(listing)
    yield from _find_accounts(listing.accounts or ())


def _find_routes(routes: Sequence[Route]) -> Iterator[Finding]:
    names = Counter(route.name for route in routes)
    for route in routes:
        if names[route.name] > 1:
            yield _finding(
                'route_name_repeated',
                route_entry(route.name),
                'another route has the same name; rename one of them',
            )
        if not HOST.fullmatch(route.host):
            yield _finding(
                'impossible_host',
                route_entry(route.name),
                f'no Host header without a port is {route.host!r}',
            )
        elif not PREFIX.fullmatch(route.prefix):
            yield _finding(
                'impossible_prefix',
                route_entry(route.name),
                f'no path begins with {route.prefix!r}; '
                'a path begins with a slash and has no query',
            )
    for group in by_host(routes).values():
        yield from _find_hidden(group)


def _find_hidden(routes: Iterable[Route]) -> Iterator[Finding]:
    """Yield the routes of a host that come after another for all paths.

    Args:
        routes: in the order in which they are tried.
    """
    first: dict[str, Route] = {}
    for route in routes:
        # Every path begins with a slash.
        known = first.setdefault(route.prefix or '/', route)
        if known is not route:
            yield _finding(
                'hidden_prefix',
                route_entry(route.name),
                f'route {known.name} takes all of its requests; '
                'remove one of them',
            )


def _find_services(listing: ConfigurationListing) -> Iterator[Finding]:
    names = Counter(service.name for service in listing.services)
    for name, count in names.items():
        if count > 1:
            yield _finding(
                'service_name_repeated',
                service_entry(name),
                'only the last entry of this name takes effect; remove others',
            )
    for route in listing.routes:
        yield from _find_targets(route, names)
    for name in sorted(names.keys() - _targets(listing.routes)):
        yield _finding(
            'service_without_route',
            service_entry(name),
            'no route sends requests to it',
        )


def _targets(routes: Iterable[Route]) -> set[str]:
    """Return the services to which any route sends requests."""
    parts = chain.from_iterable(route.services for route in routes)
    return {part.service for part in parts if part.weight > 0}


def _find_targets(route: Route, names: Container[str]) -> Iterator[Finding]:
    """Yield the targets of a route that no request can reach."""
    for part in route.services:
        if part.service not in names:
            yield _finding(
                'unknown_service',
                route_entry(route.name),
                f'service {part.service!r} is not listed',
            )
        if part.weight <= 0 and len(route.services) > 1:
            yield _finding(
                'part_without_weight',
                route_entry(route.name),
                f'service {part.service} has no weight, '
                'so no request goes to it',
            )


def _find_accounts(accounts: Iterable[ClientAccount]) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for account in accounts:
        if not account.keys:
            yield _finding(
                'account_without_key',
                account_entry(account.name),
                'no request can belong to it; add a key or remove it',
            )
        for key in account.keys:
            holder = holders.get(key)
            holders[key] = account.name
            if holder is not None:
                yield _finding(
                    'key_repeated',
                    account_entry(holder),
                    f'{key_name(key)} also belongs to account {account.name}, '
                    'which comes later and holds it',
                )


def _finding(code: str, entry: str, message: str) -> Finding:
    return Finding(Kind.unreachable, code, entry, message)
