"""What a check reports agrees with what hosts do, for many configurations."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celerywharf.configuration_checks import Kind, check_configuration
from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    decode_configuration,
    decode_large_configuration,
)
from tests.configuration_checks.documents import LIMITS, document, route

NAMES = ('desk', 'shop', 'idle')
KEYS = ('secret-1', 'secret-2', 'secret-3')
PATHS = ('/', '/a/', '/a/b/', '/c d/', '/z')
HOSTS = ('x.example', 'y.example')

names = st.sampled_from(NAMES)
parts = st.fixed_dictionaries(
    {'service': names, 'weight': st.sampled_from((0, 1, 2.5))}
)
reachable_or_not = st.builds(
    lambda host, prefix, split: {
        'host': host,
        'prefix': prefix,
        'split': split,
    },
    st.sampled_from(('x.example', 'Y.example', 'x.example:80')),
    st.sampled_from(('/', '/a/', '/a/b/', 'a/', '/a?b/', '')),
    st.lists(parts, max_size=3),
)
tenants = st.lists(
    st.fixed_dictionaries(
        {
            'name': st.sampled_from(('bar', 'cafe', 'diner')),
            'apiKeys': st.lists(st.sampled_from(KEYS), max_size=2),
        }
    ),
    max_size=4,
    unique_by=lambda tenant: tenant['name'],
)
odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.sampled_from(('1', '1.5', 'true', 'streaming', '', '\ud800')),
    st.just([]),
    st.just({}),
)
ROUTE_FIELDS = (*route(), 'priority', 'public', 'streamResume', 'split')
changes = st.dictionaries(
    st.sampled_from(
        (
            *(('routes', 0, name) for name in ROUTE_FIELDS),
            *(('limits', name) for name in LIMITS),
            *(('services', 0, name) for name in ('name', 'engine')),
            *(('tenants', 0, name) for name in ('name', 'apiKeys')),
            ('version',),
            ('routes',),
            ('tenants',),
        )
    ),
    odd_values,
    max_size=3,
)


def _changed(changed):
    """Return a sound document with some values replaced."""
    content = json.loads(document())
    for place in sorted(changed, key=len, reverse=True):
        inner = content
        for step in place[:-1]:
            inner = inner[step]
        inner[place[-1]] = changed[place]
    return json.dumps(content).encode()


def _decode(content):
    """Return what hosts take of a configuration; None if they refuse it."""
    try:
        return decode_configuration(content)
    except ProtocolError:
        return None


@given(changes)
def test_what_is_passed_is_taken_by_hosts_and_the_rest_is_refused(changed):
    content = _changed(changed)

    try:
        findings = check_configuration(content)
    except ProtocolError:
        findings = None

    taken = _decode(content)
    refused = findings is None or any(
        finding.kind is Kind.error for finding in findings
    )
    assert refused == (taken is None)
    if taken is None:
        with pytest.raises(ProtocolError):
            asyncio.run(decode_large_configuration(content))
    else:
        assert asyncio.run(decode_large_configuration(content)) == taken


@given(st.lists(reachable_or_not, min_size=1, max_size=5), st.sets(names))
def test_services_called_unreachable_get_no_request(entries, listed):
    content = document(
        *(route(f'r{index}', **entry) for index, entry in enumerate(entries)),
        services=[{'name': name} for name in sorted(listed)],
    )
    findings = check_configuration(content)
    without_route = {
        finding.entry.removeprefix('service ')
        for finding in findings
        if finding.code == 'service_without_route'
    }
    configuration = decode_configuration(content)
    found = [
        configuration.match(host, path) for host in HOSTS for path in PATHS
    ]
    reached = {
        part.service
        for matched in found
        if matched is not None
        for part in matched.services
        if part.weight > 0
    }

    assert not reached & without_route


@given(tenants)
def test_a_key_called_repeated_belongs_to_the_later_account(entries):
    content = document(tenants=entries)
    repeated = {
        finding.entry.removeprefix('account ')
        for finding in check_configuration(content)
        if finding.code in {'key_repeated', 'account_without_key'}
    }
    held = set(decode_configuration(content).accounts.values())

    assert {entry['name'] for entry in entries} - held <= repeated
    assert (
        not {entry['name'] for entry in entries if not entry['apiKeys']} & held
    )
