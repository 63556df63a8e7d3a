"""Checks that the rows which an edit refers to exist."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator, Mapping

from celerywharf.adapters import StoredRow
from celerywharf.exceptions import InvalidRowError
from celerywharf.tables import _storage
from celerywharf.tables.catalogues import ANY_BACKEND_SERVER
from celerywharf.tables.changes import Edit
from celerywharf.tables.rows import RowKind

# Columns that name a row of another kind.
REFERENCE_COLUMNS = {
    RowKind.backend_server: (('service', RowKind.service),),
    RowKind.share: (
        ('client_account', RowKind.client_account),
        ('backend_server', RowKind.backend_server),
    ),
}


def references(edits: Iterable[Edit]) -> tuple[str, ...]:
    """Return the platform keys of all rows that the edits refer to."""
    found: list[str] = []
    for edit in edits:
        found.extend(key for _, key in _edit_references(edit))
    return tuple(found)


def missing_references(
    edits: Iterable[Edit],
    rows: Mapping[str, StoredRow],
) -> InvalidRowError | None:
    """Return an error if an edit refers to a row that does not exist.

    Rows that the same edits write exist, and rows that they delete do not.

    Args:
        edits: the edits of one change.
        rows: rows read from the platform by key.
    """
    edits = tuple(edits)
    present = {
        key for key, stored in rows.items() if stored.value.get('fields')
    }
    present.difference_update(_keys(edits, deleted=True))
    present.update(_keys(edits, deleted=False))
    lines = []
    for edit in edits:
        lines.extend(_missing(edit, present))
    return InvalidRowError('\n'.join(lines)) if lines else None


def _keys(edits: Iterable[Edit], *, deleted: bool) -> set[str]:
    return {
        _storage.row_key(edit.kind, edit.key)
        for edit in edits
        if (edit.fields is None) is deleted
    }


def _missing(edit: Edit, present: Container[str]) -> Iterator[str]:
    for column, key in _edit_references(edit):
        if key not in present:
            name = edit.fields[column]
            yield (
                f'{edit.kind.value} {edit.key}: column {column} = {name!r}: '
                'the row does not exist'
            )


def _edit_references(edit: Edit) -> Iterator[tuple[str, str]]:
    if edit.fields is None:
        return
    for column, kind in REFERENCE_COLUMNS.get(edit.kind, ()):
        name = edit.fields[column]
        if name != ANY_BACKEND_SERVER:
            yield column, _storage.row_key(kind, name)
