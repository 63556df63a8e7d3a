"""Conversion between deltas and their messages on the inner links."""

from __future__ import annotations

import json
from collections.abc import Sequence

from celerywharf.exceptions import ProtocolError
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind
from celerywharf.wire import FRAME_LIMIT_BYTES
from celerywharf.wire.tables import TableDelta, TableRow

# A page ends when it has so many rows, or so many bytes in their columns.
PAGE_ROWS = 5000
PAGE_BYTES = FRAME_LIMIT_BYTES // 2


def encode_delta(delta: Delta) -> TableDelta:
    """Return the message of a delta, at most its first page of rows.

    A page is never cut within a revision, because the receiver goes on from
    the revision of the last row.
    """
    rows = _first_page(delta.rows)
    return TableDelta(
        since=delta.since,
        upto=delta.upto,
        rows=rows,
        more=len(rows) < len(delta.rows),
    )


def decode_delta(message: TableDelta) -> Delta:
    """Return the delta of a message.

    Raises:
        ProtocolError: a row is of an unknown kind or not valid JSON.
    """
    try:
        rows = tuple(_decode_row(row) for row in message.rows)
    except ValueError as error:
        raise ProtocolError(f'invalid table row: {error}') from None
    return Delta(message.since, message.upto, rows)


def _first_page(rows: Sequence[Row]) -> list[TableRow]:
    page: list[TableRow] = []
    size_bytes = 0
    for row in rows:
        is_full = len(page) >= PAGE_ROWS or size_bytes >= PAGE_BYTES
        if is_full and row.revision != page[-1].revision:
            break
        encoded = _encode_row(row)
        page.append(encoded)
        size_bytes += len(encoded.key) + len(encoded.fields)
    return page


def _encode_row(row: Row) -> TableRow:
    fields = '' if row.fields is None else json.dumps(dict(row.fields))
    return TableRow(row.kind.value, row.key, row.version, row.revision, fields)


def _decode_row(message: TableRow) -> Row:
    return Row(
        kind=RowKind(message.kind),
        key=message.key,
        version=message.version,
        revision=message.revision,
        fields=json.loads(message.fields) if message.fields else None,
    )
