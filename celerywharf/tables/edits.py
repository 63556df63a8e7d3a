"""Reads what operators send into change requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from celerywharf.exceptions import BadRequestError, InvalidRowError
from celerywharf.tables.changes import Edit
from celerywharf.tables.rows import RowKind
from celerywharf.tables.validation import check_fields, key_of

EDIT_LIMIT = 5000
VERSION_LIMIT = 1_000_000_000


def read_kind(text: str) -> RowKind:
    """Read the kind of a row.

    Raises:
        BadRequestError: there is no such kind.
    """
    try:
        return RowKind(text)
    except ValueError:
        known = ', '.join(RowKind)
        raise BadRequestError(
            f'unknown kind {text!r}; known: {known}'
        ) from None


def read_version(value: Any, *, required: bool) -> int | None:
    """Read the version that a row must have.

    Raises:
        BadRequestError: it is no number, or missing although required.
    """
    if value in {None, ''} and not required:
        return None
    text = str(value).strip().strip('"')
    if not text.isdigit() or int(text) > VERSION_LIMIT:
        raise BadRequestError(
            f'version = {value!r}: the version you last read is required, '
            '0 for a new row',
        )
    return int(text)


def read_edit(
    kind: RowKind,
    key: str,
    version: Any,
    fields: Mapping[str, Any],
) -> Edit:
    """Check one row that is to be written.

    Raises:
        InvalidRowError: a column is wrong or the key is not the row's.
    """
    checked = check_fields(kind, fields, f'{kind.value} {key}')
    if key_of(kind, checked) != key:
        raise InvalidRowError(
            f'{kind.value} {key}: the columns are those of '
            f'{key_of(kind, checked)}',
        )
    return Edit(kind, key, read_version(version, required=True), checked)


def read_edits(rows: Any) -> tuple[Edit, ...]:
    """Check many rows; all are good or none is taken.

    Raises:
        InvalidRowError: one line for each wrong column of each row.
    """
    if not isinstance(rows, list) or not 0 < len(rows) <= EDIT_LIMIT:
        raise BadRequestError(f'rows must be a list of 1 to {EDIT_LIMIT}')
    edits = []
    complaints = []
    for number, row in enumerate(rows, start=1):
        try:
            edits.append(_read_row(row, number))
        except BadRequestError as error:
            complaints.append(error.message)
    complaints.extend(_duplicates(edits))
    if complaints:
        raise InvalidRowError('\n'.join(complaints))
    return tuple(edits)


def _read_row(row: Any, number: int) -> Edit:
    if not isinstance(row, dict) or not isinstance(row.get('fields'), dict):
        raise InvalidRowError(f'row {number}: no kind and fields')
    kind = read_kind(str(row.get('kind')))
    fields = row['fields']
    label = f'row {number} ({kind.value} {key_of(kind, fields)})'
    checked = check_fields(kind, fields, label)
    try:
        version = read_version(row.get('version'), required=False)
    except BadRequestError as error:
        raise InvalidRowError(f'{label}: column {error.message}') from None
    return Edit(kind, key_of(kind, checked), version, checked)


def _duplicates(edits: Iterable[Edit]) -> list[str]:
    seen = set()
    found = []
    for edit in edits:
        if (edit.kind, edit.key) in seen:
            found.append(f'{edit.kind.value} {edit.key}: given twice')
        seen.add((edit.kind, edit.key))
    return found
