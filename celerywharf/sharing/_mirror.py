"""What a table held when this front last read it."""

from __future__ import annotations

from celerywharf.platform import ReadResult, Row

# Beyond this many removed rows the older half is forgotten; who asks for
# changes since before then reads the whole table.
MOST_REMOVED = 2000


class Mirror:
    """The newest state of each row of a table.

    Attributes:
        rows: newest state by key, removed rows too.
        version: of the newest reading; None before the first.
        oldest: version since which all changes are known.
        newest: version of the last change of a row.
        store_s: the store's clock in the newest reading.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version: int | None = None
        self.oldest = 0
        self.newest = 0
        self.store_s: float = 0

    def replace(self, reading: ReadResult) -> None:
        """Take a reading of the whole table."""
        self.rows = {row.key: row for row in reading.rows}
        self.oldest = reading.version
        self._heard(reading)

    def update(self, reading: ReadResult) -> None:
        """Take the rows that changed since the last reading."""
        self._heard(reading)
        if reading.rows:
            self.rows.update((row.key, row) for row in reading.rows)
            self._forget()

    def tells_since(self, version: int) -> bool:
        """Tell whether all changes after a version are known."""
        return version >= self.oldest

    def since(self, version: int) -> tuple[Row, ...]:
        """Return the rows that changed after a version.

        Mostly there are none: each front asks several times a second.
        """
        if version >= self.newest:
            return ()
        return tuple(row for row in self.rows.values() if row.version > version)

    def present(self) -> tuple[Row, ...]:
        """Return the rows that are there."""
        return tuple(row for row in self.rows.values() if not row.removed)

    def _heard(self, reading: ReadResult) -> None:
        self.version = max(self.version or 0, reading.version)
        versions = (row.version for row in reading.rows)
        self.newest = max(self.newest, max(versions, default=0))
        self.store_s = reading.sighting.store_s

    def _forget(self) -> None:
        removed = sorted(
            (row for row in self.rows.values() if row.removed),
            key=lambda row: row.version,
        )
        if len(removed) <= MOST_REMOVED:
            return
        for row in removed[: len(removed) // 2]:
            self.oldest = max(self.oldest, row.version)
            self.rows.pop(row.key)
