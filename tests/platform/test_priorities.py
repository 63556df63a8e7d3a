"""Priorities in the operator's configuration, sound and malformed."""

import json

import pytest

from celerywharf.platform import (
    EngineAdmission,
    decode_configuration,
    read_request_headers,
    server_headers,
)

ROUTE = {
    'name': 'r',
    'host': 'h',
    'prefix': '/',
    'kind': 'streaming',
    'timeoutMs': 25000,
    'service': 'narrator',
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 100_000,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def decode(routes, tenants):
    document = {
        'version': 1,
        'routes': [{**ROUTE, **route} for route in routes],
        'services': [{'name': 'narrator', 'engine': {'kvCapacity': 88000}}],
        'limits': LIMITS,
        'tenants': tenants,
    }
    return decode_configuration(json.dumps(document).encode())


def test_priorities_of_routes_and_accounts_are_read():
    configuration = decode(
        [{'priority': 0}, {'priority': 2}],
        [{'name': 'a', 'apiKeys': ['k'], 'priority': 1}, {'name': 'b'}],
    )
    urgencies = configuration.urgencies
    assert urgencies.by_account == {'a': 1}
    assert urgencies.by_service == {'narrator': (0, 1, 2)}
    assert not configuration.malformed_priorities


@pytest.mark.parametrize('text', ['high', 1.5, True, [], {}, '1'], ids=str)
def test_a_malformed_priority_is_dropped_and_counted(text):
    configuration = decode(
        [{'priority': text}, {'priority': 2}],
        [{'name': 'a', 'apiKeys': ['k'], 'priority': text}],
    )
    assert configuration.malformed_priorities == 2
    assert configuration.accounts == {'k': 'a'}
    assert configuration.urgencies.by_service == {'narrator': (0, 2)}


def test_null_is_no_priority():
    configuration = decode(
        [{'priority': None}], [{'name': 'a', 'priority': None}]
    )
    assert not configuration.malformed_priorities
    assert not configuration.urgencies.by_account


@pytest.mark.parametrize('urgency', [None, 0, 9])
def test_the_urgency_that_a_caller_states_does_not_reach_engines(urgency):
    request = read_request_headers(
        [('Attempt-Id', 'x'), ('Request-Urgency', '0')]
    )
    headers = server_headers(
        request,
        account=None,
        instance='e',
        remaining_s=1,
        admission=EngineAdmission(urgency),
    )
    expected = None if urgency is None else str(urgency)
    assert headers.get('request-urgency') == expected
