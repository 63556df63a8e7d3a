"""What a check of a configuration reports."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celerywharf.configuration_checks import Kind, check_configuration
from celerywharf.exceptions import ProtocolError
from celerywharf.platform import decode_configuration
from tests.configuration_checks.documents import LIMITS, document, route

STREAM = {'kind': 'streaming', 'streamResume': True}
MAX_CHECK_S = 2.0
SHOP = {'name': 'shop', 'apiKeys': ['secret-1']}

prefixes = st.sampled_from(('/', '/a/', '/a/b/', 'a/', '/a?b/', '/c d/', ''))
hosts = st.sampled_from(('x.example', 'Y.example', '', 'x.example:80', 'a/b'))
routes = st.lists(
    st.builds(
        lambda host, prefix: {'host': host, 'prefix': prefix}, hosts, prefixes
    ),
    min_size=1,
    max_size=6,
)


def _codes(content, current=None):
    return {
        (finding.code, finding.entry)
        for finding in check_configuration(content, current)
    }


def test_a_sound_configuration_has_no_findings():
    assert not check_configuration(document())


@pytest.mark.parametrize(
    ('content', 'place'),
    [
        (document(route(kind='often')), 'routes.0.kind'),
        (document(version='seven'), 'version'),
        (document(limits={}), 'limits.maxHeaderBytes'),
        (b'[]', ''),
    ],
)
def test_what_a_host_refuses_is_an_error_with_its_field(content, place):
    with pytest.raises(ProtocolError):
        decode_configuration(content)

    findings = check_configuration(content)

    assert {finding.kind for finding in findings} == {Kind.error}
    assert place in {finding.entry for finding in findings}


def test_an_error_beside_a_deep_value_is_reported_with_its_entry():
    deep = ''.join(('[' * 5000, ']' * 5000))
    content = document(route(kind='other', later='deep')).decode()
    content = content.replace('"deep"', deep).encode()
    (finding,) = check_configuration(content)
    assert finding.entry == 'routes.0.kind'
    assert finding.message.endswith('(r)')


def test_a_refused_field_is_reported_with_the_name_of_its_entry():
    (finding,) = check_configuration(document(route('desk'), route(kind='x')))

    assert finding.entry == 'routes.1.kind'
    assert finding.message.endswith('(r)')


@pytest.mark.parametrize('content', [b'', b'{', b'\xff'])
def test_a_configuration_that_is_not_json_cannot_be_checked(content):
    with pytest.raises(ProtocolError):
        check_configuration(content)


@pytest.mark.parametrize(
    ('content', 'code', 'entry'),
    [
        (
            document(route('a'), route('b', prefix='/a/')),
            'hidden_prefix',
            'route b',
        ),
        (document(route(host='x:80')), 'impossible_host', 'route r'),
        (document(route(prefix='r/')), 'impossible_prefix', 'route r'),
        (document(route(prefix='/r?x/')), 'impossible_prefix', 'route r'),
        (document(route(service='gone')), 'unknown_service', 'route r'),
        (
            document(services=[{'name': 'desk'}, {'name': 'idle'}]),
            'service_without_route',
            'service idle',
        ),
        (
            document(services=[{'name': 'desk'}, {'name': 'desk'}]),
            'service_name_repeated',
            'service desk',
        ),
        (
            document(
                route(
                    split=[
                        {'service': 'desk', 'weight': 1},
                        {'service': 'desk', 'weight': 0},
                    ]
                )
            ),
            'part_without_weight',
            'route r',
        ),
        (
            document(tenants=[SHOP, {**SHOP, 'name': 'other'}]),
            'key_repeated',
            'account shop',
        ),
        (
            document(tenants=[SHOP, {'name': 'other'}]),
            'account_without_key',
            'account other',
        ),
        (document(route('a'), route('a')), 'route_name_repeated', 'route a'),
    ],
)
def test_entries_without_effect_are_reported(content, code, entry):
    assert (code, entry) in _codes(content)


@pytest.mark.parametrize(
    ('content', 'code', 'entry'),
    [
        (
            document(route(timeoutMs=200)),
            'timeout_under_target',
            'route r',
        ),
        (
            document(route(**STREAM, gapTargetMs=5000)),
            'gap_over_timeout',
            'route r',
        ),
        (
            document(route(kind='non_idempotent')),
            'repeats_of_single_run',
            'route r',
        ),
        (document(route(maxAttempts=0)), 'no_attempts', 'route r'),
        (document(route(timeoutMs=0)), 'no_time', 'route r'),
        (
            document(route(split=[{'service': 'desk', 'weight': 0}])),
            'split_without_weight',
            'route r',
        ),
        (
            document(limits={**LIMITS, 'maxBodyBytes': 0}),
            'limit_of_nothing',
            'limits',
        ),
        (
            document(limits={**LIMITS, 'maxHeaderBytes': 60}),
            'headers_over_limit',
            'route r',
        ),
        (
            document(route('a', priority=2), tenants=[{**SHOP, 'priority': 1}]),
            'priority_without_effect',
            'route a',
        ),
        (
            document(route('a', priority=2), route('b', priority=2)),
            'priority_without_effect',
            'service desk',
        ),
    ],
)
def test_contradictions_are_reported(content, code, entry):
    assert (code, entry) in _codes(content)


def test_priorities_of_accounts_have_an_effect():
    content = document(
        route('a', priority=2),
        tenants=[
            {**SHOP, 'priority': 1},
            {'name': 'bar', 'apiKeys': ['secret-3']},
        ],
    )

    assert not check_configuration(content)


def test_malformed_priorities_are_reported():
    content = document(route('a', priority='high'))

    assert ('malformed_priorities', 'priorities') in _codes(content)


def test_priorities_that_differ_have_an_effect():
    content = document(route('a', priority=0), route('b', priority=2))

    assert not check_configuration(content)


def test_what_is_taken_from_callers_comes_first():
    current = document(route('a'), route('b'))
    new = document(
        route('a', timeoutMs=3000, maxAttempts=4),
        route('c'),
        version=8,
        tenants=[{'name': 'shop', 'apiKeys': ['secret-2']}],
    )

    findings = check_configuration(new, current)

    kinds = [finding.kind for finding in findings]
    assert set(kinds[:3]) == {Kind.withdrawal}
    assert set(kinds[3:]) == {Kind.change}
    assert {(finding.code, finding.entry) for finding in findings[:3]} == {
        ('removed', 'route b'),
        ('timeout_s_lowered', 'route a'),
        ('key_removed', 'account shop'),
    }


@pytest.mark.parametrize(
    ('changes', 'code', 'kind'),
    [
        ({'host': 'other.example'}, 'host_changed', Kind.withdrawal),
        ({'prefix': '/r/a/'}, 'prefix_changed', Kind.withdrawal),
        ({'prefix': '/'}, 'prefix_changed', Kind.change),
        ({'public': False}, 'public_changed', Kind.withdrawal),
        ({'timeoutMs': 5000}, 'timeout_s_changed', Kind.change),
    ],
)
def test_what_a_route_no_longer_takes_is_a_withdrawal(changes, code, kind):
    current = document(route(public=True))
    new = document(route(**{'public': True, **changes}), version=8)

    (finding,) = check_configuration(new, current)

    assert (finding.code, finding.kind) == (code, kind)


def test_keys_that_are_not_needed_any_more_are_not_withdrawn():
    (finding,) = check_configuration(
        document(version=8, tenants=None), document()
    )

    assert finding.code == 'keys_not_required'
    assert finding.kind is Kind.change


def test_changed_priorities_of_accounts_are_reported():
    tenants = [{**SHOP, 'priority': 1}]

    findings = check_configuration(
        document(version=8, tenants=tenants), document()
    )

    assert ('priority_changed', 'account shop') in {
        (finding.code, finding.entry) for finding in findings
    }


def test_keys_are_never_printed():
    findings = check_configuration(
        document(
            version=8,
            tenants=[SHOP, {'name': 'b', 'apiKeys': ['secret-1', 'secret-2']}],
        ),
        document(),
    )

    assert findings
    assert 'secret' not in ' '.join(finding.message for finding in findings)


def test_a_version_that_is_not_newer_is_an_error():
    assert ('version_not_newer', 'version') in _codes(document(), document())


@given(routes)
def test_only_what_no_request_reaches_is_called_unreachable(entries):
    content = document(
        *(route(f'r{index}', **entry) for index, entry in enumerate(entries))
    )
    unreachable = {
        finding.entry.removeprefix('route ')
        for finding in check_configuration(content)
        if finding.kind is Kind.unreachable
    }
    configuration = decode_configuration(content)
    matched = {
        found.name
        for host in ('x.example', 'y.example')
        for path in ('/', '/a/', '/a/b/', '/c', '/z')
        if (found := configuration.match(host, path)) is not None
    }

    assert not matched & unreachable
    assert matched | unreachable == {f'r{each}' for each in range(len(entries))}


def test_five_thousand_routes_are_checked_in_time():
    many = [route(f'r{index}') for index in range(5000)]
    started_s = time.monotonic()

    findings = check_configuration(
        document(*many, version=8), document(*many[1:])
    )

    assert time.monotonic() - started_s < MAX_CHECK_S
    assert [finding.code for finding in findings] == ['added']
