"""Software versions of a service, with given entries and times."""

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import Directory
from tests.backends.test_directory import SERVICE, make_server

scenarios('version_counts.feature')


@given(parsers.parse('a directory at {now_s:g} s'), target_fixture='directory')
def _directory(now_s):
    directory = Directory()
    directory.restored(now_s)
    return directory


@when(parsers.re('(?P<events>e1 .*)'))
def _apply(directory, events):
    for number, event in enumerate(events.split(', ')):
        name, _, change = event.partition(' ')
        _apply_one(directory, name, change, number)


def _apply_one(directory, name, change, number):
    known = directory.servers.get(name)
    match change.split():
        case ['comes', 'with', version]:
            server = make_server(
                name, software_version=version, born_ms=1 + number
            )
            directory.update(server, 100)
        case ['is', 'draining']:
            server = make_server(
                name,
                software_version=known.software_version,
                draining=True,
                sequence=2,
            )
            directory.update(server, 100)
        case ['is', 'replaced']:
            directory.replaced(known)
        case ['goes']:
            directory.removed(name, 100)


@then(parsers.re(r'the versions at (?P<now_s>\d+) s are ?(?P<versions>.*)'))
def _versions(directory, now_s, versions):
    recent = directory.software_versions.recent(SERVICE, float(now_s))
    assert recent == frozenset(versions.split())
