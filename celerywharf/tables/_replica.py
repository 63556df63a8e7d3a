"""One host's copy of the table, in which no row reverts to an older state."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row, RowKind


class DeltaStatus(enum.Enum):
    """Whether a delta was applied to a replica, and if not, why.

    A stale delta holds nothing newer than the replica.  A gap means that
    the replica lacks changes before the delta.
    """

    applied = 'applied'
    stale = 'stale'
    gap = 'gap'


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The result of ``Replica.apply``.

    Attributes:
        status: whether the delta was applied, and if not, why.
        rows: the rows that were newer than the replica's, in the order of
            the delta.
    """

    status: DeltaStatus
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class Digest:
    """A summary of a replica, to compare it with another one.

    Attributes:
        revision: highest revision applied.
        checksum: checksum over kind, key, version and revision of all rows.
    """

    revision: int
    checksum: int

    def differs(self, revision: int, checksum: int) -> bool:
        """Return whether a replica at the same revision has other rows."""
        return revision == self.revision and checksum != self.checksum


class Replica:
    """Rows by kind and key, including deleted ones.

    Attributes:
        revision: highest revision applied.
        checksum: checksum over all rows; independent of their order.
        rows: newest known state of each row.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.checksum = 0
        self.rows: dict[tuple[RowKind, str], Row] = {}

    def apply(self, delta: Delta) -> ApplyResult:
        """Apply a delta unless it is stale or leaves a gap.

        Rows that are not newer than the replica's own are skipped.  A delta
        that starts at revision 0 holds all rows, so it is applied at the
        same revision too, to repair a replica that lacks some.
        """
        if delta.upto < self.revision:
            return ApplyResult(DeltaStatus.stale)
        if delta.upto == self.revision and delta.since:
            return ApplyResult(DeltaStatus.stale)
        if delta.since > self.revision:
            return ApplyResult(DeltaStatus.gap)
        newer = tuple(row for row in delta.rows if self._is_newer(row))
        for row in sorted(newer, key=_by_revision):
            self._put(row)
        self.revision = delta.upto
        return ApplyResult(DeltaStatus.applied, newer)

    def delta_since(self, revision: int) -> Delta:
        """Return the rows that changed after a revision."""
        newer = [row for row in self.rows.values() if row.revision > revision]
        newer.sort(key=_by_revision)
        since = min(revision, self.revision)
        return Delta(since, self.revision, tuple(newer))

    def digest(self) -> Digest:
        """Return the summary that is compared with other replicas."""
        return Digest(self.revision, self.checksum)

    def live_rows(self, kind: RowKind | None = None) -> list[Row]:
        """Return the rows that are not deleted, sorted by kind and key."""
        found = [
            row
            for row in self.rows.values()
            if row.fields is not None and kind in {None, row.kind}
        ]
        return sorted(found, key=lambda row: (row.kind, row.key))

    def _is_newer(self, row: Row) -> bool:
        current = self.rows.get((row.kind, row.key))
        return current is None or row.revision > current.revision

    def _put(self, row: Row) -> None:
        current = self.rows.get((row.kind, row.key))
        if current is not None:
            self.checksum ^= _checksum(current)
        self.checksum ^= _checksum(row)
        self.rows[row.kind, row.key] = row


def _by_revision(row: Row) -> int:
    return row.revision


def _checksum(row: Row) -> int:
    state = f'{row.kind.value}/{row.key}/{row.version}/{row.revision}'
    return xxhash.xxh64_intdigest(state.encode())
