"""Rows and deltas to inner messages and back."""

from __future__ import annotations

import json
from collections.abc import Sequence

from celerywharf.exceptions import ProtocolError
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind
from celerywharf.wire.tables import TableDelta, TableRow

PAGE_ROWS = 5000


def message_of(delta: Delta) -> TableDelta:
    """Write a delta, cut after a whole revision when it is long."""
    rows = _page(delta.rows)
    return TableDelta(
        since=delta.since,
        upto=delta.upto,
        rows=[_row_message(row) for row in rows],
        more=len(rows) < len(delta.rows),
    )


def delta_of(message: TableDelta) -> Delta:
    """Read a delta.

    Raises:
        ProtocolError: a row is not one.
    """
    try:
        rows = tuple(_row(row) for row in message.rows)
    except ValueError as error:
        raise ProtocolError(f'not a row: {error}') from None
    return Delta(message.since, message.upto, rows)


def _page(rows: Sequence[Row]) -> Sequence[Row]:
    end = PAGE_ROWS
    while end < len(rows) and rows[end].revision == rows[end - 1].revision:
        end += 1
    return rows[:end]


def _row_message(row: Row) -> TableRow:
    fields = '' if row.fields is None else json.dumps(dict(row.fields))
    return TableRow(row.kind.value, row.key, row.version, row.revision, fields)


def _row(message: TableRow) -> Row:
    return Row(
        kind=RowKind(message.kind),
        key=message.key,
        version=message.version,
        revision=message.revision,
        fields=json.loads(message.fields) if message.fields else None,
    )
