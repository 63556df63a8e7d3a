"""The directory of backend servers, by replay."""

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


def _entry(text):
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


@given(parsers.parse('entries seen: {entries}'))
@when(parsers.parse('an entry is seen: {entries}'))
def _seen(directory, entries):
    for text in entries.split(', '):
        directory.update(_entry(text), 0)


@when(parsers.parse('the entry of {name} vanishes at {now:g} s'))
def _vanished(directory, name, now):
    directory.removed(name, now)


@when(parsers.parse('the entry of {name} names another service'))
def _moved(directory, name):
    moved = make_server(name, service='other', sequence=2, born_ms=5)
    directory.update(moved, 0)


@when(parsers.parse('{count:d} other servers come and leave'))
def _come_and_leave(directory, count):
    for number in range(count):
        directory.update(make_server(f'other-{number}', draining=True), 0)
        directory.drop(f'other-{number}')


@then(parsers.parse('{count:d} marks are kept'))
def _marks(directory, count):
    assert len(directory.left) == count


@when('the store is lost')
def _lost(directory):
    directory.outage()


@when(parsers.parse('the store is back at {now:g} s'))
def _back(directory, now):
    directory.restored(now)


@when(parsers.parse('the table is read at {now:g} s with only {name}'))
def _read(directory, name, now):
    directory.replace_all([directory.servers[name]], now)


@when(parsers.parse('{now:g} s have passed'))
def _passed(directory, now):
    directory.expire(now)


@when(parsers.parse('another server answers at the address of {name}'))
def _replaced(directory, name):
    directory.replaced(directory.servers[name])


@then(parsers.parse('the usable servers are {names}'))
def _usable(directory, names):
    usable = {server.name for server in directory.usable(SERVICE)}
    assert usable == set(names.split()) - {'none'}
