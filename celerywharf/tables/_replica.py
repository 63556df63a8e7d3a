"""One host's copy of the table; nothing in it ever reverts."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind


class Fit(enum.Enum):
    """How a delta fits to what the replica has."""

    applied = 'applied'
    stale = 'stale'
    gap = 'gap'


@dataclass(frozen=True, slots=True)
class Applied:
    """The outcome of ``Replica.apply``.

    Attributes:
        fit: whether the delta was applied, and if not, why.
        rows: the rows that are newly in force.
    """

    fit: Fit
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Digest:
    """What two replicas compare.

    Attributes:
        revision: highest revision applied.
        checksum: over the identity and revision of all rows.
    """

    revision: int
    checksum: int

    def differs(self, revision: int, checksum: int) -> bool:
        """Tell whether a replica of the same revision has other rows."""
        return revision == self.revision and checksum != self.checksum


class Replica:
    """Rows by kind and key, with the highest revision applied."""

    def __init__(self) -> None:
        self.revision = 0
        self.checksum = 0
        self.rows: dict[tuple[RowKind, str], Row] = {}

    def apply(self, delta: Delta) -> Applied:
        """Apply a delta that starts at or below the own revision.

        A delta from the very beginning holds every row, so it also repairs a
        replica of the same revision.
        """
        if delta.upto < self.revision:
            return Applied(Fit.stale)
        if delta.upto == self.revision and delta.since:
            return Applied(Fit.stale)
        if delta.since > self.revision:
            return Applied(Fit.gap)
        newer = tuple(row for row in delta.rows if self._is_newer(row))
        for row in sorted(newer, key=_by_revision):
            self._put(row)
        self.revision = delta.upto
        return Applied(Fit.applied, newer)

    def delta_since(self, revision: int) -> Delta:
        """Return what a replica at ``revision`` lacks."""
        newer = [row for row in self.rows.values() if row.revision > revision]
        newer.sort(key=_by_revision)
        since = min(revision, self.revision)
        return Delta(since, self.revision, tuple(newer))

    def digest(self) -> Digest:
        """Return what is compared with a peer."""
        return Digest(self.revision, self.checksum)

    def live_rows(self, kind: RowKind | None = None) -> list[Row]:
        """List the rows that are not deleted, in order of kind and key."""
        found = [
            row
            for row in self.rows.values()
            if row.fields is not None and kind in {None, row.kind}
        ]
        return sorted(found, key=lambda row: (row.kind, row.key))

    def _is_newer(self, row: Row) -> bool:
        mine = self.rows.get((row.kind, row.key))
        return mine is None or row.revision > mine.revision

    def _put(self, row: Row) -> None:
        mine = self.rows.get((row.kind, row.key))
        if mine is not None:
            self.checksum ^= _checksum(mine)
        self.checksum ^= _checksum(row)
        self.rows[row.kind, row.key] = row


def _by_revision(row: Row) -> int:
    return row.revision


def _checksum(row: Row) -> int:
    state = f'{row.kind.value}/{row.key}/{row.version}/{row.revision}'
    return xxhash.xxh64_intdigest(state.encode())
