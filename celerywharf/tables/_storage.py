"""Keys under which rows and changes are stored on the platform."""

from __future__ import annotations

from celerywharf.tables.rows import RowKind

REVISION_KEY = 'table/revision'
ROW_PREFIX = 'table/rows/'
CHANGE_PREFIX = 'table/changes/'
RETAINED_CHANGES = 5000  # a replica further behind reads all rows


def row_key(kind: RowKind, key: str) -> str:
    """Return the platform key of a row."""
    return f'{ROW_PREFIX}{kind.value}/{key}'


def change_key(revision: int) -> str:
    """Return the platform key of a change record; keys sort by revision."""
    return f'{CHANGE_PREFIX}{revision:016d}'
