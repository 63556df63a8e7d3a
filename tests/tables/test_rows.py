"""Validation, sheets and the typed catalogue."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from celerywharf.exceptions import BadRequestError
from celerywharf.tables import Catalogue, Row, RowKind
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


@then(parsers.parse('it gives {expected}'))
def _gives(outcome, expected):
    assert outcome.startswith(expected)


@when('rows of every kind are exported and read', target_fixture='pairs')
def _round_trip():
    pairs = []
    for kind, sample in SAMPLES.items():
        fields = check_fields(kind, sample)
        row = Row(kind, key_of(kind, fields), 3, 9, fields)
        (edit,) = read_edits(read_sheet(kind, write_sheet(kind, [row])))
        pairs.append((row, edit))
    return pairs


@then('they are the same rows')
def _same(pairs):
    for row, edit in pairs:
        assert (edit.key, edit.version) == (row.key, row.version)
        assert edit.fields == row.fields
