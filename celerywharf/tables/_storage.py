"""How rows and changes are laid out in the platform's table."""

from __future__ import annotations

from celerywharf.tables.rows import RowKind

REVISION_KEY = 'table/revision'
ROW_PREFIX = 'table/rows/'
CHANGE_PREFIX = 'table/changes/'
KEPT_CHANGES = 5000


def row_key(kind: RowKind, key: str) -> str:
    """Return the key under which a row is stored."""
    return f'{ROW_PREFIX}{kind.value}/{key}'


def change_key(revision: int) -> str:
    """Return the key of a change record; keys sort by revision."""
    return f'{CHANGE_PREFIX}{revision:016d}'
