"""Limits of the store's answers and of what the system writes."""

import base64
from http import HTTPStatus

import pytest

from standins.calls import call

ROW_BYTES = 65536
PAGE_BYTES = 1_000_000


@pytest.fixture
def store(fleet):
    return fleet.start_store().address


def _put(store, count, size_bytes):
    for number in range(count):
        row = {'table': 't', 'key': f'{number:03}', 'content': 'x' * size_bytes}
        call(store, 'POST', '/rows', row)


def _read(store, first_key=''):
    query = f'table=t&part=&from={first_key}'
    return call(store, 'GET', f'/api/rows-get?{query}')[1]


def test_a_table_over_one_megabyte_is_read_in_pages(store):
    _put(store, 20, 60_000)
    page = _read(store)
    size_bytes = sum(len(row['value']) for row in page['rows'])
    assert page['hasMore']
    assert PAGE_BYTES - 80_000 < size_bytes <= PAGE_BYTES
    rest = _read(store, '{}%00'.format(page['rows'][-1]['key']))
    assert not rest['hasMore']
    assert len(page['rows']) + len(rest['rows']) == 20


def test_a_page_has_at_most_five_hundred_rows(store):
    _put(store, 501, 1)
    page = _read(store)
    assert (len(page['rows']), page['hasMore']) == (500, True)


def test_changes_over_one_megabyte_are_cut_and_do_not_say_so(store):
    _put(store, 20, 60_000)
    query = 'table=t&after=0&waitMs=0'
    page = call(store, 'GET', f'/api/rows-feed?{query}')[1]
    assert len(page['rows']) == 12
    assert not page['hasMore']


@pytest.mark.parametrize(
    ('size_bytes', 'status'),
    [
        (ROW_BYTES, HTTPStatus.OK),
        (ROW_BYTES + 1, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    ],
)
def test_the_system_writes_rows_of_a_bounded_size(store, size_bytes, status):
    value = base64.b64encode(bytes(size_bytes)).decode()
    row = {'table': 't', 'part': '', 'key': 'k', 'value': value}
    body = {'precondition': [], 'setKeys': [row], 'delete': []}
    assert call(store, 'POST', '/api/rows-tx', body)[0] == status
