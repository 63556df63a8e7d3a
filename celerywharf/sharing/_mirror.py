"""A local copy of a table of the store."""

from __future__ import annotations

from celerywharf.platform import ReadResult, Row

# Beyond this many removed rows the older half is dropped; a front that requests
# changes from before that point has to read the whole table.
MAX_REMOVED_ROWS = 2000


class Mirror:
    """The latest state of each row of a table, as read from the store.

    Attributes:
        rows: latest state by key, including removed rows.
        version: version of the latest reading; None before the first.
        history_start: all changes after this version are known.
        last_change: version of the latest change of a row.
        store_s: the store's clock in the latest reading, seconds.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version: int | None = None
        self.history_start = 0
        self.last_change = 0
        self.store_s: float = 0

    def replace(self, reading: ReadResult) -> None:
        """Replace all rows by a reading of the whole table."""
        self.rows = {row.key: row for row in reading.rows}
        self.history_start = reading.version
        self._record_versions(reading)

    def update(self, reading: ReadResult) -> None:
        """Apply the rows that changed since the last reading."""
        self._record_versions(reading)
        if reading.rows:
            self.rows.update((row.key, row) for row in reading.rows)
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
