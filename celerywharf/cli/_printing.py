"""Output as aligned columns or as JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

COLUMN_SEPARATOR = '  '

Record = Mapping[str, Any]


def print_json(content: Any) -> None:
    """Print an indented JSON document."""
    sys.stdout.write(f'{json.dumps(content, indent=2)}\n')


def print_records(columns: Sequence[str], records: Iterable[Record]) -> None:
    """Print records in aligned columns below a header line."""
    lines = [list(columns)]
    for record in records:
        lines.append(
            [_format_cell(record.get(column)) for column in columns],
        )
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    for line in lines:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        sys.stdout.write(f'{COLUMN_SEPARATOR.join(padded).rstrip()}\n')


def print_rows(columns: Sequence[str], rows: Iterable[Record]) -> None:
    """Print rows of the shared table with their versions."""
    records = [{**row['fields'], 'version': row['version']} for row in rows]
    print_records([*columns, 'version'], records)


def print_change(change: Record, *, as_json: bool) -> None:
    """Print the rows that a change wrote, and its revision."""
    if as_json:
        print_json(change)
        return
    for row in change['rows']:
        outcome = 'deleted'
        if row['fields'] is not None:
            outcome = f'version {row["version"]}'
        sys.stdout.write(f'{row["kind"]} {row["key"]}: {outcome}\n')
    sys.stdout.write(f'in force at revision {change["revision"]}\n')


def _format_cell(value: Any) -> str:
    match value:
        case None | '':
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case list():
            return ','.join(map(str, value)) or '-'
    return str(value)
