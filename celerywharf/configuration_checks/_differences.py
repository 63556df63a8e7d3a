"""Finds what a configuration changes of the version in force."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any

from celerywharf.configuration_checks._findings import (
    Finding,
    Kind,
    account_entry,
    route_entry,
    service_entry,
)
from celerywharf.configuration_checks._keys import key_name
from celerywharf.routing import ConfigurationListing

# Callers lose something if one of these becomes smaller.
GRANTS = frozenset(
    (
        'timeout_s',
        'max_attempts',
        'header_bytes',
        'body_bytes',
        'header_timeout_s',
        'idle_timeout_s',
    )
)


def find_differences(
    new: ConfigurationListing, current: ConfigurationListing
) -> list[Finding]:
    """Return the differences, first those that take something from callers.

    Args:
        new: the configuration that is to be sent.
        current: the version in force.
    """
    found = [
        *_compare_entries(
            {route_entry(each.name): each for each in new.routes},
            {route_entry(each.name): each for each in current.routes},
        ),
        *_compare_entries(
            {service_entry(each.name): each for each in new.services},
            {service_entry(each.name): each for each in current.services},
        ),
        *_compare_keys(new, current),
        *_compare_fields('limits', new.limits, current.limits),
    ]
    return sorted(found, key=lambda each: each.kind is not Kind.withdrawal)


def find_stale_version(
    new: ConfigurationListing, current: ConfigurationListing
) -> Iterator[Finding]:
    """Yield a finding if hosts would ignore the configuration as outdated."""
    if new.version <= current.version:
        yield Finding(
            Kind.error,
            'version_not_newer',
            'version',
            f'{new.version} is not above {current.version}, which is in force',
        )


def _compare_entries(
    new: Mapping[str, Any], current: Mapping[str, Any]
) -> Iterator[Finding]:
    for entry, known in current.items():
        changed = new.get(entry)
        if changed is None:
            yield Finding(Kind.withdrawal, 'removed', entry, 'is removed')
        else:
            yield from _compare_fields(entry, changed, known)
    for entry in new:
        if entry not in current:
            yield Finding(Kind.change, 'added', entry, 'is added')


def _compare_fields(entry: str, new: Any, current: Any) -> Iterator[Finding]:
    for field in fields(new):
        name = field.name
        value, known = getattr(new, name), getattr(current, name)
        if value != known:
            lowered = name in GRANTS and value < known
            lost = lowered or _excludes(name, value, known)
            yield Finding(
                Kind.withdrawal if lost else Kind.change,
                f'{name}_lowered' if lowered else f'{name}_changed',
                entry,
                f'{name} changes from {_show(known)} to {_show(value)}',
            )


def _excludes(name: str, value: Any, known: Any) -> bool:
    """Return whether a route no longer takes some requests after a change."""
    match name:
        case 'host':
            return True
        case 'prefix':
            return not known.startswith(value)
        case 'public':
            return not value
    return False


def _compare_keys(
    new: ConfigurationListing, current: ConfigurationListing
) -> Iterator[Finding]:
    if new.accounts is not None and current.accounts is None:
        yield Finding(
            Kind.withdrawal,
            'keys_required',
            'accounts',
            'requests need a key, except on public routes',
        )
    if new.accounts is None and current.accounts is not None:
        yield Finding(
            Kind.change, 'keys_not_required', 'accounts', 'no key is needed'
        )
        return
    held = new.configuration().accounts
    known = current.configuration().accounts
    yield from _compare_holders(held, known)
    yield from _compare_priorities(new, current)


def _compare_priorities(
    new: ConfigurationListing, current: ConfigurationListing
) -> Iterator[Finding]:
    priorities = {each.name: each.priority for each in current.accounts or ()}
    for account in new.accounts or ():
        known = priorities.get(account.name, account.priority)
        if account.priority != known:
            yield Finding(
                Kind.change,
                'priority_changed',
                account_entry(account.name),
                f'priority changes from {_show(known)} to '
                f'{_show(account.priority)}',
            )


def _compare_holders(
    held: Mapping[str, str], known: Mapping[str, str]
) -> Iterator[Finding]:
    for key, account in known.items():
        holder = held.get(key)
        if holder is None:
            yield Finding(
                Kind.withdrawal,
                'key_removed',
                account_entry(account),
                f'{key_name(key)} is removed',
            )
        elif holder != account:
            yield Finding(
                Kind.withdrawal,
                'key_moved',
                account_entry(account),
                f'{key_name(key)} moves to account {holder}',
            )
    for key in held.keys() - known.keys():
        yield Finding(
            Kind.change,
            'key_added',
            account_entry(held[key]),
            f'{key_name(key)} is added',
        )


def _show(value: Any) -> str:
    match value:
        case tuple():
            return ', '.join(
                f'{each.service}:{each.weight:g}' for each in value
            )
        case float():
            return f'{value:g}'
    return str(value)
