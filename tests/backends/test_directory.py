"""Directory of backend servers, with given entries and times."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import BackendServer, Directory
from celerywharf.structures import Address

scenarios('directory.feature')

SERVICE = 'narrative'


def make_server(name, zone='north-1', **changes):
    fields = {
        'name': name,
        'service': SERVICE,
        'address': Address('127.0.0.1', 1),
        'availability_zone': zone,
        'slots': 12,
        'draining': False,
        'born_ms': 1,
        'sequence': 1,
        'warm_up_left_s': 0,
    }
    return BackendServer(**{**fields, **changes})


def _parse_entry(text):
    words = text.split()
    name, state, sequence = words[:3]
    return make_server(
        name,
        draining=state == 'draining',
        sequence=int(sequence),
        born_ms=int(words[-1]),
    )


@pytest.fixture
def directory():
    return Directory()


@given(parsers.parse('entries: {entries}'))
@when(parsers.parse('an entry arrives: {entries}'))
def _update(directory, entries):
    for text in entries.split(', '):
        directory.update(_parse_entry(text), 0)


@when(parsers.parse('the entry of {name} is removed at {now:g} s'))
def _removed(directory, name, now):
    directory.removed(name, now)


@when(parsers.parse('the entry of {name} names another service'))
def _change_service(directory, name):
    changed = make_server(name, service='other', sequence=2, born_ms=5)
    directory.update(changed, 0)


@when(parsers.parse('{count:d} other servers appear and depart'))
def _appear_and_depart(directory, count):
    for number in range(count):
        directory.update(make_server(f'other-{number}', draining=True), 0)
        directory.drop(f'other-{number}')


@then(parsers.parse('{count:d} departures are remembered'))
def _departures(directory, count):
    assert len(directory.departed) == count


@when('the store becomes unavailable')
def _store_unavailable(directory):
    directory.outage()


@when(parsers.parse('the store is available again at {now:g} s'))
def _store_available(directory, now):
    directory.restored(now)


@when(parsers.parse('a snapshot at {now:g} s contains only {name}'))
def _snapshot(directory, name, now):
    directory.replace_all([directory.servers[name]], now)


@when(parsers.parse('missing entries are expired at {now:g} s'))
def _expire(directory, now):
    directory.expire(now)


@when(parsers.parse('another server answers at the address of {name}'))
def _replaced(directory, name):
    directory.replaced(directory.servers[name])


@then(parsers.parse('the usable servers are {names}'))
def _usable(directory, names):
    usable = {server.name for server in directory.usable(SERVICE)}
    assert usable == set(names.split()) - {'none'}
