"""The state of a shared table, by replay."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.platform import ReadResult, Row
from celerywharf.routing import Sighting
from celerywharf.sharing import Mirror

scenarios('mirror.feature')


def make_reading(version, *rows):
    return ReadResult(rows, version, Sighting(1, 1, version))


def make_row(key, version, *, removed=False):
    return Row(key, None if removed else b'{}', removed, version)


@pytest.fixture
def mirror():
    return Mirror()


@given(parsers.parse('a table read at version {version:d} with rows {keys}'))
@when(parsers.parse('it is read again at version {version:d} with rows {keys}'))
def _read(mirror, version, keys):
    rows = [make_row(key, version) for key in keys.split()]
    mirror.replace(make_reading(version, *rows))


@when(parsers.parse('version {version:d} changes {changed} and removes {gone}'))
def _change(mirror, version, changed, gone):
    rows = (make_row(changed, version), make_row(gone, version, removed=True))
    mirror.update(make_reading(version, *rows))


@when(parsers.parse('{count:d} rows come and go from version {first:d} on'))
def _come_and_go(mirror, count, first):
    for version in range(first, first + count):
        row = make_row(f'gone-{version}', version, removed=True)
        mirror.update(make_reading(version, row))


@then(
    parsers.parse(
        'the changes after {after:d} are {key} and no {gone}, '
        'up to version {version:d}',
    ),
)
def _changes(mirror, after, key, gone, version):
    told = {row.key: row.removed for row in mirror.since(after)}
    assert told == {key: False, gone: True}
    assert mirror.version == version


@then(parsers.parse('the whole table is {keys}'))
def _whole(mirror, keys):
    assert sorted(row.key for row in mirror.present()) == keys.split()


@then(parsers.parse('changes after {after:d} cannot be told'))
def _untold(mirror, after):
    assert not mirror.tells_since(after)


@then(parsers.parse('changes after {after:d} can be told'))
def _told(mirror, after):
    assert mirror.tells_since(after)


@then(parsers.parse('at most {count:d} removed rows are kept'))
def _kept(mirror, count):
    assert sum(row.removed for row in mirror.rows.values()) <= count
