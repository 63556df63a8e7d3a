"""Pages of rows that one host sends to another."""

import pytest

from celerywharf.tables._messages import decode_delta, encode_delta
from celerywharf.tables._replica import Replica
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind
from celerywharf.wire import Envelope, Kind, default_codec, frame

MODELS = [f'{number:0128}' for number in range(20)]


@pytest.mark.parametrize('rows_per_change', [1, 300])
def test_pages_of_large_rows_fit_frames(rows_per_change):
    rows = tuple(
        Row(
            RowKind.backend_server,
            f's{number}',
            1,
            1 + number // rows_per_change,
            {'models': MODELS},
        )
        for number in range(6000)
    )
    replica = Replica()
    replica.apply(Delta(0, rows[-1].revision, rows))
    received = []
    cursor = 0
    has_more = True
    while has_more:
        page = encode_delta(replica.delta_since(cursor))
        frame(default_codec().encode(Envelope(Kind.reply, 1, page)))
        received.extend(decode_delta(page).rows)
        cursor = received[-1].revision
        has_more = page.more
    assert [row.key for row in received] == [row.key for row in rows]
