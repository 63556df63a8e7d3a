"""What operators ask for and what comes of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from celerywharf.tables.rows import Row, RowKind


@dataclass(frozen=True, slots=True)
class Edit:
    """One row to be written or deleted.

    Attributes:
        kind: which table it belongs to.
        key: unique within the kind.
        version: version the row must have, 0 for absent, None for any.
        fields: checked fields, None to delete the row.
    """

    kind: RowKind
    key: str
    version: int | None
    fields: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Edits that take effect together or not at all.

    Attributes:
        change_id: unique; the same id is never applied twice to a row.
        edits: at most one for each row.
        host: name of the host that took the request.
        at_s: when it was taken, seconds since 1970.
    """

    change_id: str
    edits: tuple[Edit, ...]
    host: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """A committed change.

    Attributes:
        revision: revision of the whole table that it made.
        change_id: id of its request.
        rows: the rows it wrote, in force from now on.
        host: name of the host that committed it.
        at_s: when it was asked for, seconds since 1970.
    """

    revision: int
    change_id: str
    rows: tuple[Row, ...]
    host: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Delta:
    """What brings a replica from one revision to a later one.

    Attributes:
        since: lowest revision that a replica must have to apply it.
        upto: revision that the replica has afterwards.
        rows: all rows set after ``since``, as they stand at ``upto``.
    """

    since: int
    upto: int
    rows: tuple[Row, ...]

    @classmethod
    def of_change(cls, change: Change) -> Delta:
        """Return the delta of a single change."""
        return cls(change.revision - 1, change.revision, change.rows)
