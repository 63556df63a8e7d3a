"""The local copy of a shared table, driven by given readings."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.platform import ReadResult, Row
from celerywharf.routing import AnswerTiming
from celerywharf.sharing import Mirror

scenarios('mirror.feature')


def make_reading(version, *rows):
    return ReadResult(rows, version, AnswerTiming(1, 1, version))


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


@when(
    parsers.parse(
        'version {version:d} changes {changed_key} and removes {removed_key}'
    )
)
def _change(mirror, version, changed_key, removed_key):
    rows = (
        make_row(changed_key, version),
        make_row(removed_key, version, removed=True),
    )
    mirror.update(make_reading(version, *rows))


@when(parsers.parse('{count:d} rows are removed from version {first:d} on'))
def _remove_rows(mirror, count, first):
    for version in range(first, first + count):
        row = make_row(f'removed-{version}', version, removed=True)
        mirror.update(make_reading(version, row))


@then(
    parsers.parse(
        'the changes after {after:d} are row {key} and removal of '
        '{removed_key}, up to version {version:d}',
    ),
)
def _changes(mirror, after, key, removed_key, version):
    changes = {row.key: row.removed for row in mirror.changes_since(after)}
    assert changes == {key: False, removed_key: True}
    assert mirror.version == version


@then(parsers.parse('the whole table is {keys}'))
def _whole(mirror, keys):
    assert sorted(row.key for row in mirror.current_rows()) == keys.split()


@then(parsers.parse('changes after {after:d} are not known'))
def _not_known(mirror, after):
    assert not mirror.covers(after)


@then(parsers.parse('changes after {after:d} are known'))
def _known(mirror, after):
    assert mirror.covers(after)


@then(parsers.parse('at most {count:d} removed rows are kept'))
def _kept(mirror, count):
    assert sum(row.removed for row in mirror.rows.values()) <= count
