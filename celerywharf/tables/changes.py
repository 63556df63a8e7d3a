"""Requests of operators to change the table, and committed changes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from celerywharf.tables.rows import Row, RowKind


@dataclass(frozen=True, slots=True)
class Edit:
    """A row to be written or deleted.

    Attributes:
        kind: kind of the row.
        key: key of the row, unique within its kind.
        version: version the row must have, 0 for absent, None for any.
        fields: validated fields, None to delete the row.
    """

    kind: RowKind
    key: str
    version: int | None
    fields: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Edits that take effect together or not at all.

    Attributes:
        change_id: unique id; a request that is repeated with the same id
            is not applied to a row again.
        edits: at most one for each row.
        host: name of the host that received the request.
        at_s: time of the request in seconds since 1970.
    """

    change_id: str
    edits: tuple[Edit, ...]
    host: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """A committed change.

    Attributes:
        revision: revision of the whole table after the change.
        change_id: id of the request.
        rows: the rows as written; deleted ones have no fields.
        host: name of the host that committed the change.
        at_s: time of the request in seconds since 1970.
    """

    revision: int
    change_id: str
    rows: tuple[Row, ...]
    host: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Delta:
    """The rows that bring a replica from one revision to a later one.

    Attributes:
        since: lowest revision that a replica must have to apply the delta.
        upto: revision of the replica afterwards.
        rows: all rows changed after ``since``, in their state at ``upto``.
    """

    since: int
    upto: int
    rows: tuple[Row, ...]

    @classmethod
    def of_change(cls, change: Change) -> Delta:
        """Return the delta of a single change."""
        return cls(change.revision - 1, change.revision, change.rows)
