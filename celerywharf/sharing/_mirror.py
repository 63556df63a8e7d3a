"""A local copy of a table of the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from celerywharf.platform import ReadResult, Row

# Beyond this many removed rows the older half is dropped; a front that requests
# changes from before that point has to read the whole table.
MAX_REMOVED_ROWS = 2000


class Mirror:
    """The latest state of each row of a table, as read from the store.

    Attributes:
        outlives: returns whether a row that is known outlives another one, in
            which an older copy of the store has it; None if none does.
        era: era of the store in which the table was read.
        rows: latest state by key, including removed rows.
        version: version of the latest reading; None before the first.
        history_start: all changes after this version are known.
        last_change: version of the latest change of a row.
        store_s: the store's clock in the latest reading, seconds.
    """

    def __init__(
        self, outlives: Callable[[Row, Row | None], bool] | None = None
    ) -> None:
        self.outlives = outlives
        self.era = 0
        self.rows: dict[str, Row] = {}
        self.version: int | None = None
        self.history_start = 0
        self.last_change = 0
        self.store_s: float = 0

    def replace(self, reading: ReadResult) -> None:
        """Replace all rows by a reading of the whole table."""
        rows = {row.key: row for row in reading.rows}
        if reading.timing.era != self.era:
            rows.update(self._outliving(rows, reading.version))
            self.era = reading.timing.era
            self.version = None
            self.last_change = 0
        self.rows = rows
        self.history_start = reading.version
        self._record_versions(reading)

    def update(self, reading: ReadResult) -> None:
        """Apply the rows that changed since the last reading."""
        self._record_versions(reading)
        if reading.rows:
            self.rows.update((row.key, row) for row in self._newest(reading))
            self._drop_old_removals()

    def covers(self, version: int) -> bool:
        """Return whether all changes after a version are known."""
        return version >= self.history_start

    def changes_since(self, version: int) -> tuple[Row, ...]:
        """Return the rows that changed after a version, removed ones too.

        Usually there are none, because each front requests changes several
        times a second; this case is answered without looking at each row.
        """
        if version >= self.last_change:
            return ()
        return tuple(row for row in self.rows.values() if row.version > version)

    def current_rows(self) -> tuple[Row, ...]:
        """Return all rows that have not been removed."""
        return tuple(row for row in self.rows.values() if not row.removed)

    def _outliving(self, rows: dict[str, Row], version: int) -> dict[str, Row]:
        """Return the known rows that are newer than those of a copy."""
        if self.outlives is None:
            return {}
        return {
            key: replace(row, version=version)
            for key, row in self.rows.items()
            if self.outlives(row, rows.get(key))
        }

    def _newest(self, reading: ReadResult) -> list[Row]:
        """Return the rows of a reading, or newer ones that are known."""
        newest = []
        for row in reading.rows:
            known = self.rows.get(row.key)
            if self.outlives is None or known is None:
                newest.append(row)
            elif self.outlives(known, row):
                newest.append(replace(known, version=row.version))
            else:
                newest.append(row)
        return newest

    def _record_versions(self, reading: ReadResult) -> None:
        self.version = max(self.version or 0, reading.version)
        versions = (row.version for row in reading.rows)
        self.last_change = max(self.last_change, max(versions, default=0))
        self.store_s = reading.timing.store_s

    def _drop_old_removals(self) -> None:
        removed = sorted(
            (row for row in self.rows.values() if row.removed),
            key=lambda row: row.version,
        )
        if len(removed) <= MAX_REMOVED_ROWS:
            return
        for row in removed[: len(removed) // 2]:
            self.history_start = max(self.history_start, row.version)
            self.rows.pop(row.key)
