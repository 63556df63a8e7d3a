"""Reads changes and rows of the table from the platform."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.adapters import Platform, ScanPage
from celerywharf.tables import _storage, documents
from celerywharf.tables.changes import Change, Delta
from celerywharf.tables.rows import Row, RowKind

PAGE_CHANGES = 200
PAGE_ROWS = 500


@dataclass(slots=True)
class _Snapshot:
    """Rows collected by a scan during which the table may change.

    Attributes:
        revision: revision that the rows are complete up to.
        rows: newest known state of each row.
    """

    revision: int
    rows: dict[tuple[RowKind, str], Row] = field(default_factory=dict)

    def add(self, row: Row) -> None:
        """Add the row unless a newer state of it is known."""
        known = self.rows.get((row.kind, row.key))
        if known is None or row.revision > known.revision:
            self.rows[row.kind, row.key] = row

    def apply(self, change: Change) -> None:
        """Apply a change that was committed during the scan."""
        for row in change.rows:
            self.add(row)
        self.revision = change.revision

    def delta(self) -> Delta:
        """Return all rows as one delta that starts at revision 0."""
        return Delta(0, self.revision, tuple(self.rows.values()))


async def read_deltas(platform: Platform, revision: int) -> list[Delta]:
    """Return the changes committed after a revision, in order.

    An empty replica, or one that needs change records that are no longer
    retained, gets a single delta with all rows.

    Raises:
        PlatformUnavailableError: the platform does not answer.
    """
    if not revision:
        return await _read_snapshot(platform)
    changes = await _read_changes(platform, revision)
    if changes and changes[0].revision != revision + 1:
        return await _read_snapshot(platform)
    return [Delta.of_change(change) for change in changes]


async def read_history(
    platform: Platform,
    after: int,
    limit: int,
) -> list[Change]:
    """Return up to ``limit`` changes committed after a revision."""
    page = await _scan_changes(platform, after, limit)
    return [documents.change_of(stored.value) for stored in page.rows]


async def _scan_changes(
    platform: Platform,
    after: int,
    limit: int,
) -> ScanPage:
    return await platform.scan(
        _storage.CHANGE_PREFIX,
        _storage.change_key(after),
        limit,
    )


async def _read_changes(platform: Platform, revision: int) -> list[Change]:
    changes: list[Change] = []
    last = revision
    more = True
    while more:
        page = await _scan_changes(platform, last, PAGE_CHANGES)
        changes.extend(documents.change_of(row.value) for row in page.rows)
        more = page.more
        last = changes[-1].revision if changes else last
    return changes


async def _read_snapshot(platform: Platform) -> list[Delta]:
    stored = await platform.read([_storage.REVISION_KEY])
    if not stored:
        return []
    before = stored[_storage.REVISION_KEY].value['revision']
    snapshot = _Snapshot(before)
    after = ''
    more = True
    while more:
        page = await platform.scan(_storage.ROW_PREFIX, after, PAGE_ROWS)
        for row in page.rows:
            snapshot.add(documents.row_of(row.value))
            after = row.key
        more = page.more
    changes = await _read_changes(platform, before)
    if changes and changes[0].revision != before + 1:
        # Change records committed during the scan are no longer retained.
        return await _read_snapshot(platform)
    for change in changes:
        snapshot.apply(change)
    return [snapshot.delta()]
