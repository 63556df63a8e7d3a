"""A table of several pages, read while it changes."""

import asyncio
import json

import pytest

from celerywharf.adapters.transports import HttpResponse, Transport
from celerywharf.platform import HistoryGoneError, Position, StoreClient
from celerywharf.structures import Address

PAGES = (
    {
        'rows': [{'key': 'a', 'apiVersion': 3}],
        'apiVersion': 5,
        'nowMs': 1000,
        'hasMore': True,
    },
    {
        'rows': [{'key': 'b', 'apiVersion': 4}],
        'apiVersion': 6,
        'nowMs': 3000,
        'hasMore': False,
    },
)
LARGE_VALUE = 'AAAA' * 100_000


class Pages(Transport):
    """Answers each call with the next page."""

    def __init__(self, pages=PAGES):
        self.left = list(pages)

    async def fetch(self, request):
        body = json.dumps(self.left.pop(0)).encode()
        return HttpResponse(200, {'store-era': '1'}, body)

    def stream(self, request, sink):
        raise NotImplementedError

    def close(self):
        """There is nothing to close."""


# A change of a row of the first page, made while the second was read, was
# taken for known: a server that left went on to get requests.
def test_changes_between_two_pages_are_still_to_be_read():
    store = StoreClient(Pages(), Address('127.0.0.1', 1))
    reading = asyncio.run(store.read('servers'))
    assert [row.key for row in reading.rows] == ['a', 'b']
    assert reading.version == 5
    assert reading.timing.store_s == 1


# A value that is not ASCII ended the task that reads the table.
@pytest.mark.parametrize('value', ['\u00e9\u00e9\u00e9\u00e9', '?', 'eHg'])
def test_a_value_that_is_not_base64_has_no_content(value):
    page = PAGES[1] | {'rows': [{'key': 'a', 'value': value}]}
    store = StoreClient(Pages([page]), Address('127.0.0.1', 1))
    reading = asyncio.run(store.read('servers'))
    assert [row.content for row in reading.rows] == [None]


def _watch(*values):
    """Return the changes of an answer with rows of these values."""
    rows = [
        {'key': 'config', 'value': value, 'apiVersion': 3 + number}
        for number, value in enumerate(values)
    ]
    store = StoreClient(
        Pages([PAGES[1] | {'rows': rows}]), Address('127.0.0.1', 1)
    )
    store.era.observe(1)
    return asyncio.run(store.watch('op', Position(1, 2), 0)).rows


def test_changes_that_an_answer_may_not_hold_are_read_with_the_whole_table():
    with pytest.raises(HistoryGoneError):
        _watch(LARGE_VALUE, LARGE_VALUE)


def test_changes_that_an_answer_holds_are_taken_over():
    assert len(_watch(LARGE_VALUE)) == 1
    assert len(_watch(LARGE_VALUE, 'AAAA')) == 2


@pytest.mark.parametrize('key', ['\ud800', 'i-\udfff-\ud800'])
def test_a_key_that_is_no_text_does_not_make_the_other_rows_unreadable(key):
    rows = [*PAGES[0]['rows'], {'key': key}, *PAGES[1]['rows']]
    store = StoreClient(
        Pages([PAGES[1] | {'rows': rows}]), Address('127.0.0.1', 1)
    )
    reading = asyncio.run(store.read('servers'))
    read = [row.key for row in reading.rows]
    assert (read[0], read[-1]) == ('a', 'b')
    assert '\ufffd' in read[1]
