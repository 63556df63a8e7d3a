"""Conversion of rows and changes to and from JSON objects."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from celerywharf.tables.changes import Change
from celerywharf.tables.rows import Row, RowKind

Json = Mapping[str, Any]


def row_document(row: Row) -> dict[str, Any]:
    """Return a row as a JSON object."""
    return {
        'kind': row.kind.value,
        'key': row.key,
        'version': row.version,
        'revision': row.revision,
        'fields': None if row.fields is None else dict(row.fields),
    }


def row_of(document: Json) -> Row:
    """Return the row of a JSON object made by ``row_document``."""
    return Row(
        kind=RowKind(document['kind']),
        key=document['key'],
        version=document['version'],
        revision=document['revision'],
        fields=document['fields'],
    )


def change_document(change: Change) -> dict[str, Any]:
    """Return a change as a JSON object."""
    return {
        'revision': change.revision,
        'change_id': change.change_id,
        'rows': [row_document(row) for row in change.rows],
        'host': change.host,
        'at_s': change.at_s,
    }


def change_of(document: Json) -> Change:
    """Return the change of a JSON object made by ``change_document``."""
    return Change(
        revision=document['revision'],
        change_id=document['change_id'],
        rows=tuple(row_of(row) for row in document['rows']),
        host=document['host'],
        at_s=document['at_s'],
    )
