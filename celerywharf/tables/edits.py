"""Parses and validates the edits that operators send."""

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
    """Parse the kind of a row.

    Raises:
        BadRequestError: the kind is unknown.
    """
    try:
        return RowKind(text)
    except ValueError:
        known = ', '.join(RowKind)
        raise BadRequestError(
            f'unknown kind {text!r}; known: {known}'
        ) from None


def read_version(value: Any, *, required: bool) -> int | None:
    """Parse the version that a row must have, None for any.

    Raises:
        BadRequestError: the version is not a number up to ``VERSION_LIMIT``,
            or is required and missing.
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
    """Validate a row to be written at the given version.

    Raises:
        InvalidRowError: a column is invalid, or the key differs from the
            one made of the columns.
        BadRequestError: the version is missing or invalid.
    """
    checked = check_fields(kind, fields, f'{kind.value} {key}')
    if key_of(kind, checked) != key:
        raise InvalidRowError(
            f'{kind.value} {key}: the columns belong to '
            f'{key_of(kind, checked)}',
        )
    return Edit(kind, key, read_version(version, required=True), checked)


def read_edits(rows: Any) -> tuple[Edit, ...]:
    """Validate the rows of an import, all of them or none.

    Raises:
        InvalidRowError: with one line for each invalid column of each row.
        BadRequestError: ``rows`` is not a list, is empty or is too long.
    """
    if not isinstance(rows, list) or not 0 < len(rows) <= EDIT_LIMIT:
        raise BadRequestError(
            f'rows must be a list of length 1 to {EDIT_LIMIT}'
        )
    edits = []
    errors = []
    for number, row in enumerate(rows, start=1):
        try:
            edits.append(_read_row(row, number))
        except BadRequestError as error:
            errors.append(error.message)
    errors.extend(_duplicates(edits))
    if errors:
        raise InvalidRowError('\n'.join(errors))
    return tuple(edits)


def _read_row(row: Any, number: int) -> Edit:
    if not isinstance(row, dict) or not isinstance(row.get('fields'), dict):
        raise InvalidRowError(f'row {number}: kind or fields missing')
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
            found.append(
                f'{edit.kind.value} {edit.key}: appears more than once'
            )
        seen.add((edit.kind, edit.key))
    return found
