"""What a check of roll-outs reports."""

import json

import pytest

from celerywharf.cli import main
from celerywharf.configuration_checks import Kind, check_rollouts
from celerywharf.exceptions import ProtocolError
from tests.configuration_checks.documents import document

ENGINE = {
    'service': 'desk',
    'address': '127.0.0.1:4000',
    'zone': 'zone-a',
    'state': 'ready',
    'slots': 4,
    'version': '2.1',
}


def _order(**changes):
    return {'service': 'desk', 'to': '2.1', 'periodS': 60, **changes}


def _engines(**changes):
    return json.dumps({'e-1': {**ENGINE, **changes}}).encode()


def _check(orders, engines=None):
    return check_rollouts(document(), json.dumps(orders).encode(), engines)


@pytest.mark.parametrize('orders', [_order(), [_order()], []])
def test_a_version_that_an_engine_has_is_no_finding(orders):
    assert not _check(orders, _engines())


@pytest.mark.parametrize(
    'changes',
    [
        {'version': '2.0'},
        {'service': 'shop'},
        {'state': 'draining'},
    ],
)
def test_a_version_that_no_engine_has_is_reported(changes):
    (finding,) = _check(_order(), _engines(**changes))

    assert finding.kind is Kind.contradiction
    assert finding.code == 'rollout_without_engine'
    assert finding.entry == 'roll-out desk'
    assert '2.1' in finding.message


def test_versions_are_not_compared_without_a_list_of_engines():
    assert not _check(_order(to='9'))


def test_a_numeric_version_of_an_engine_is_compared_as_hosts_do():
    assert not _check(_order(to='3'), _engines(version=3))


def test_a_roll_out_of_a_service_that_is_not_listed_is_reported():
    (finding,) = _check(_order(service='gone'), _engines())

    assert finding.code == 'rollout_of_unknown_service'


@pytest.mark.parametrize(
    ('order', 'field'),
    [
        (_order(periodS=0), 'periodS'),
        (_order(to=''), 'to'),
        ({'to': '2.1', 'periodS': 60}, 'service'),
    ],
)
def test_an_order_that_hosts_refuse_is_an_error_with_its_field(order, field):
    (finding,) = _check(order)

    assert (finding.kind, finding.code) == (Kind.error, 'invalid_order')
    assert f'{field}:' in finding.message


def test_an_engine_that_hosts_do_not_use_has_no_version():
    findings = _check(_order(), _engines(slots=0))

    assert [(each.code, each.entry) for each in findings] == [
        ('invalid_engine', 'engine e-1'),
        ('rollout_without_engine', 'roll-out desk'),
    ]


@pytest.mark.parametrize(
    ('orders', 'engines'), [(b'{', b'{}'), (b'{}', b'{'), (b'{}', b'[]')]
)
def test_files_that_cannot_be_read_are_no_findings(orders, engines):
    with pytest.raises(ProtocolError):
        check_rollouts(document(), orders, engines)


@pytest.mark.parametrize(
    ('orders', 'engines', 'code'),
    [
        (json.dumps(_order()).encode(), _engines(), 0),
        (json.dumps(_order(to='3')).encode(), _engines(), 1),
        (b'{', _engines(), 2),
        (None, _engines(), 2),
    ],
)
def test_the_command_checks_orders(orders, engines, code, tmp_path):
    contents = {'new': document(), 'engines': engines, 'rollouts': orders}
    paths = {name: tmp_path / f'{name}.json' for name in contents}
    for name, content in contents.items():
        paths[name].write_bytes(content or b'')
    options = [f'--engines={paths["engines"]}']
    if orders is not None:
        options.append(f'--rollouts={paths["rollouts"]}')

    found = main(['config', 'check-routes', str(paths['new']), *options])

    assert found == code


def test_files_with_deep_values_are_checked_as_hosts_decode_them():
    deep = b''.join((b'[' * 5000, b']' * 5000))
    order = b'{"service": "desk", "to": "v2", "periodS": 9, "later": %s}' % deep
    engines = b'{"i": {"service": %s}}' % deep
    findings = check_rollouts(document(), order, engines)
    codes = [finding.code for finding in findings]
    assert codes == ['invalid_engine', 'rollout_without_engine']
