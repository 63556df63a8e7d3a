"""Rows that the store does not take, beside others that it does."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from celerywharf.adapters.transports import HttpResponse, Transport
from celerywharf.origins import StreamOrigin
from celerywharf.platform import StoreClient
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.sharing._origin_rows import OriginRows
from celerywharf.structures import Address

MAX_KEY_BYTES = 200
PRESENT = {
    service: frozenset(('v1', 'v2'))
    for service in (f'{0:192}', 'narrator', f'{0:200}')
}


class RowLimits(Transport):
    """A store without rows that rejects keys that are too long."""

    def __init__(self, status):
        self.status = status
        self.written = []
        self.rejected = 0

    async def fetch(self, request):
        """Answer a reading or a transaction."""
        status = 200
        if request.method == 'POST':
            changes = json.loads(request.body)['setKeys']
            keys = [change['key'] for change in changes]
            if max(len(key.encode()) for key in keys) > MAX_KEY_BYTES:
                self.rejected += 1
                status = self.status
            else:
                self.written.extend(keys)
        body = json.dumps({'rows': [], 'apiVersion': 1, 'nowMs': 1}).encode()
        return HttpResponse(status, {}, body)

    def stream(self, request, sink):
        raise NotImplementedError

    def close(self):
        """There is nothing to close."""


class Unreadable(RowLimits):
    """A store that cannot read the table."""

    async def fetch(self, request):
        """Refuse."""
        return HttpResponse(503, {}, b'')


def records_of(transport):
    store = StoreClient(transport, Address('127.0.0.1', 1))
    versions = SimpleNamespace(
        subscribers=[], present=lambda: PRESENT, recent=lambda *_: frozenset()
    )
    origins = SimpleNamespace(now=int, software_versions=versions)
    return OriginRecords(OriginRows(store, 'north-1'), origins, 'own', int)


@pytest.mark.parametrize('status', [400, 413])
def test_a_rejected_row_of_versions_does_not_keep_others_from_the_store(status):
    transport = RowLimits(status)
    records = records_of(transport)
    records.add([StreamOrigin('r1', 'narrator', 'v1', 30)])
    for _ in range(3):
        assert asyncio.run(records.update())
    assert transport.written == [
        'versions/narrator',
        'streams/north-1/000000000001',
    ]
    assert transport.rejected == 2
    assert not records.is_due()


def test_a_table_that_cannot_be_read_does_not_keep_a_reader_from_ready():
    records = records_of(Unreadable(503))
    assert not asyncio.run(records.update())
    assert records.attempted
