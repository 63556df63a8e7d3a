"""Tests of row validation, CSV sheets and the typed catalogue."""

import random

import pytest
from pytest_bdd import parsers, scenarios, then, when

from celerywharf.exceptions import BadRequestError
from celerywharf.tables import BackendState, Catalogue, Row, RowKind
from celerywharf.tables.catalogues import digest_key
from celerywharf.tables.edits import read_edits
from celerywharf.tables.sheets import LIST_COLUMNS, read_sheet, write_sheet
from celerywharf.tables.validation import check_fields, key_of

scenarios('rows.feature')

SAMPLES = {
    RowKind.client_account: {'name': 'acme', 'key_digest': 'ab' * 32},
    RowKind.service: {'name': 'chat', 'kind': 'generation', 'model': 'm'},
    RowKind.backend_server: {
        'name': 'e1',
        'url': 'http://127.0.0.1:9000',
        'region': 'r1',
        'availability_zone': 'z1',
        'service': 'chat',
    },
    RowKind.share: {
        'backend_server': '*',
        'client_account': 'acme',
        'weight': '1.5',
        'limit': '4',
    },
}


@when(
    parsers.parse('{kind} is given with {changes}'),
    target_fixture='given_row',
)
def _given(kind, changes):
    column, _, text = changes.partition('=')
    value = text.split() if column in LIST_COLUMNS else text
    return RowKind(kind), {**SAMPLES[RowKind(kind)], column: value}


@then(parsers.parse('it is refused with "{message}"'))
def _refused(given_row, message):
    with pytest.raises(BadRequestError) as raised:
        check_fields(*given_row)
    assert message in raised.value.message


@then('the catalogue holds it')
def _held(given_row):
    kind, fields = given_row
    checked = check_fields(kind, fields)
    catalogue = Catalogue()
    catalogue.apply([Row(kind, key_of(kind, checked), 1, 1, checked)])
    held = {
        RowKind.client_account: catalogue.client_accounts,
        RowKind.service: catalogue.services,
        RowKind.backend_server: catalogue.backend_servers,
        RowKind.share: catalogue.shares,
    }[kind]
    (typed,) = held.values()
    for name, value in checked.items():
        expected = tuple(value) if name in LIST_COLUMNS else value
        assert getattr(typed, name) == expected


@when(
    parsers.parse('the sheet "{sheet}" of shares is read'),
    target_fixture='outcome',
)
def _read(sheet):
    text = sheet.replace(';', '\n')
    try:
        edits = read_edits(read_sheet(RowKind.share, text))
    except BadRequestError as error:
        return error.message
    return f'{len(edits)} rows'


@then(parsers.parse('the outcome is {expected}'))
def _outcome(outcome, expected):
    assert outcome.startswith(expected)


@when('rows of every kind are exported and imported', target_fixture='pairs')
def _round_trip():
    pairs = []
    for kind, sample in SAMPLES.items():
        fields = check_fields(kind, sample)
        row = Row(kind, key_of(kind, fields), 3, 9, fields)
        (edit,) = read_edits(read_sheet(kind, write_sheet(kind, [row])))
        pairs.append((row, edit))
    return pairs


@then('the rows are unchanged')
def _unchanged(pairs):
    for row, edit in pairs:
        assert (edit.key, edit.version) == (row.key, row.version)
        assert edit.fields == row.fields


@when(
    '2000 seeded changes of accounts and backend servers come in force',
    target_fixture='mismatches',
)
def _changes():
    source = random.Random(9)
    catalogue = Catalogue()
    mismatches = []
    for revision in range(1, 2001):
        catalogue.apply([_random_row(source, revision)])
        mismatches.extend(_mismatches(catalogue))
    assert catalogue.accounts_by_digest
    return mismatches


def _random_row(source, revision):
    kind = source.choice((RowKind.client_account, RowKind.backend_server))
    key = source.choice('abcde')
    if not source.randrange(4):
        return Row(kind, key, revision, revision, None)
    if kind is RowKind.client_account:
        changed = {'name': key, 'key_digest': digest_key(source.choice('xyz'))}
    else:
        changed = {
            'name': key,
            'service': source.choice('st'),
            'state': source.choice(('active', 'leaving')),
        }
    fields = check_fields(kind, {**SAMPLES[kind], **changed})
    return Row(kind, key, revision, revision, fields)


def _mismatches(catalogue):
    for service in 'st':
        searched = {
            backend
            for backend in catalogue.backend_servers.values()
            if backend.service == service
            and backend.state is BackendState.active
        }
        if set(catalogue.backends_of(service)) != searched:
            yield service
    for key in 'xyz':
        owners = [
            account.name
            for account in catalogue.client_accounts.values()
            if account.key_digest == digest_key(key)
        ]
        found = catalogue.account_of_key(key)
        if (found and found.name) != min(owners, default=None):
            yield key


@then('each look-up returned what a search of all rows returns')
def _same_lookups(mismatches):
    assert not mismatches
