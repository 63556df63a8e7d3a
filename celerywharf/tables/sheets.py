"""Export and import of rows as CSV sheets, one sheet for each kind."""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable, Iterator
from typing import Any

from celerywharf.exceptions import InvalidRowError
from celerywharf.tables.rows import Row, RowKind
from celerywharf.tables.validation import columns_of

VERSION_COLUMN = 'version'
LIST_COLUMNS = frozenset(
    ('idempotent_methods', 'idempotent_paths', 'models'),
)


def write_sheet(kind: RowKind, rows: Iterable[Row]) -> str:
    """Return rows of one kind as CSV text with a header line."""
    written = io.StringIO()
    columns = [*columns_of(kind), VERSION_COLUMN]
    writer = csv.DictWriter(written, columns, lineterminator='\n')
    writer.writeheader()
    for row in rows:
        cells = {name: _cell(value) for name, value in row.fields.items()}
        writer.writerow({**cells, VERSION_COLUMN: row.version})
    return written.getvalue()


def read_sheet(kind: RowKind, text: str) -> list[dict[str, Any]]:
    """Return the rows of a sheet as JSON objects, not yet validated.

    An empty cell means the column's default; an empty version means any.

    Raises:
        InvalidRowError: the header is missing or has unknown columns, a line
            has more cells than the header, or the text is not valid CSV.
    """
    reader = csv.DictReader(io.StringIO(text), strict=True)
    try:
        return list(_rows(kind, reader))
    except csv.Error as error:
        raise InvalidRowError(f'line {reader.line_num}: {error}') from None


def _rows(kind: RowKind, reader: csv.DictReader) -> Iterator[dict[str, Any]]:
    known = {*columns_of(kind), VERSION_COLUMN}
    unknown = sorted(set(reader.fieldnames or ()) - known)
    if unknown or not reader.fieldnames:
        names = ', '.join(unknown) or 'the header line is missing'
        raise InvalidRowError(f'header: unknown columns: {names}')
    for cells in reader:
        if None in cells:
            raise InvalidRowError(
                f'line {reader.line_num}: more cells than the header has',
            )
        version = cells.pop(VERSION_COLUMN, None)
        yield {
            'kind': kind.value,
            VERSION_COLUMN: version,
            'fields': {
                name: _value(name, cell) for name, cell in cells.items() if cell
            },
        }


def _value(name: str, cell: str) -> Any:
    return cell.split() if name in LIST_COLUMNS else cell


def _cell(value: Any) -> Any:
    return ' '.join(value) if isinstance(value, list) else value
