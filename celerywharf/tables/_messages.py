"""Conversion between deltas and their messages on the inner links."""

from __future__ import annotations

import json
from collections.abc import Sequence

from celerywharf.exceptions import ProtocolError
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind
from celerywharf.wire.tables import TableDelta, TableRow

PAGE_ROWS = 5000  # in one message


def encode_delta(delta: Delta) -> TableDelta:
    """Return the message of a delta, at most its first page of rows.

    A page is never cut within a revision, because the receiver goes on from
    the revision of the last row.
    """
    rows = _first_page(delta.rows)
    return TableDelta(
        since=delta.since,
        upto=delta.upto,
        rows=[_encode_row(row) for row in rows],
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


def _first_page(rows: Sequence[Row]) -> Sequence[Row]:
    end = PAGE_ROWS
    while end < len(rows) and rows[end].revision == rows[end - 1].revision:
        end += 1
    return rows[:end]


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
