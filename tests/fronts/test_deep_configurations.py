"""Configurations with values that the parser refuses, with real fronts."""

import functools
import json

import pytest

from standins.fronts import KEY, LOOKUP_PATH, PlatformRig, request_headers, send

FRONTS = {'f1': 'north-1', 'f2': 'north-1', 'f3': 'north-2'}
NEW_KEY = 'key-of-the-next-version'
OK = 200
APPLIED_WITHIN_S = 2.5
READY_WITHIN_S = 8
DEPTH = 5000


@pytest.fixture
def rig(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk')
    for name, zone in FRONTS.items():
        rig.add_front(name, zone=zone, shares=True)
    return rig


def configure(rig, routes):
    """Write a configuration with deep priorities and one more key."""
    rig.version += 1
    rig.keys = [KEY, NEW_KEY]
    content = rig.configuration()
    for number in range(routes):
        name = f'more-{number}'
        prefix = f'/{name}/'
        more = {**content['routes'][2], 'name': name, 'prefix': prefix}
        content['routes'].append(more)
    content['routes'][-1]['priority'] = '[]'
    content['tenants'][0]['priority'] = '[]'
    nested = ''.join(('[' * DEPTH, ']' * DEPTH))
    rig.put('op', 'config', json.dumps(content).replace('"[]"', nested))


def serves(rig, name):
    """Return whether a front accepts the new key."""
    headers = request_headers(Authorization=f'Bearer {NEW_KEY}')
    return send(rig.fronts[name], LOOKUP_PATH, headers=headers).status == OK


def check_restart(rig):
    """Check that fronts take the configuration, also after a restart."""
    not_in_force = rig.lacking(functools.partial(serves, rig), APPLIED_WITHIN_S)
    for name in FRONTS:
        rig.fleet.kill(name)
        rig.fleet.restart_front(name)
    not_ready = rig.lacking(rig.is_ready, READY_WITHIN_S)
    assert (not_in_force, not_ready) == (set(), set())
    assert not rig.lacking(functools.partial(serves, rig), APPLIED_WITHIN_S)


@pytest.mark.parametrize('routes', [0, 600])
def test_a_deep_priority_does_not_keep_fronts_from_the_configuration(
    rig, routes
):
    configure(rig, routes)
    check_restart(rig)


def test_half_of_a_surrogate_pair_does_not_keep_fronts_from_the_configuration(
    rig,
):
    rig.put('servers', 'desk\ud800', {})
    rig.keys = [KEY, NEW_KEY, '\ud800']
    rig.configure()
    check_restart(rig)
