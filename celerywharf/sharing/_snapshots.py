"""Large tables, encoded once for all hosts that read them whole."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.exceptions import PlatformUnavailableError, ProtocolError
from celerywharf.platform import Row
from celerywharf.sharing._contents import MIN_BYTES, ContentCache
from celerywharf.sharing._mirror import Mirror
from celerywharf.units import DOCUMENT_BYTES, SMALL_MESSAGE_BYTES
from celerywharf.wire import Envelope, Kind, default_codec
from celerywharf.wire.sharing import SharedRow, TableAnswer

logger = logging.getLogger(__name__)

# Smaller tables are encoded for each host in about a millisecond.
MIN_TABLE_BYTES = SMALL_MESSAGE_BYTES
# With more changes than this, as a share of the rows, a new one is made.
MAX_CHANGED = 0.1


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The rows of a table at one version, but for large ones.

    Attributes:
        digest: of the content that holds them.
        era: era of the store.
        version: version of the table.
        size: number of rows.
    """

    digest: bytes
    era: int
    version: int
    size: int


class TableSnapshots:
    """Keeps a snapshot of a table for hosts that read the whole.

    Answers the start of all hosts of a zone at the same moment: encoding
    some thousand rows for each of them takes their reader longer than they
    wait for it.

    Attributes:
        newest: None before a large table was read.
    """

    def __init__(self) -> None:
        self.newest: Snapshot | None = None

    def find(self, mirror: Mirror, cache: ContentCache) -> Snapshot | None:
        """Return a snapshot whose later changes are known and few.

        Args:
            mirror: the table.
            cache: keeps the content of the snapshot.

        Returns:
            None if the table is small.

        Raises:
            PlatformUnavailableError: it is too large for one content, and so
                for an answer, too.
        """
        newest = self.newest
        if newest is None or not _is_usable(newest, mirror, cache):
            self.newest = _take(mirror, cache)
        return self.newest


def rows_beside(snapshot: Snapshot, mirror: Mirror) -> tuple[Row, ...]:
    """Return what a snapshot lacks: changed rows, removed and large ones."""
    return tuple(
        row
        for row in mirror.rows.values()
        if row.version > snapshot.version
        or (not row.removed and _is_large(row))
    )


def add_to_snapshot(
    content: bytes, rows: Iterable[SharedRow]
) -> list[SharedRow]:
    """Return the rows of a table.

    Args:
        content: the content of a snapshot.
        rows: what it lacks, see ``rows_beside``.

    Raises:
        ProtocolError: the content is not a snapshot.
    """
    answer = default_codec().decode(content).body
    if not isinstance(answer, TableAnswer):
        raise ProtocolError('the content is not a snapshot of a table')
    by_key = {row.key: row for row in answer.rows}
    by_key.update((row.key, row) for row in rows)
    return [row for row in by_key.values() if not row.removed]


def _is_usable(snapshot: Snapshot, mirror: Mirror, cache: ContentCache) -> bool:
    if snapshot.era != mirror.era or not mirror.covers(snapshot.version):
        return False
    if cache.find(snapshot.digest) is None:
        return False
    changes = mirror.changes_since(snapshot.version)
    return len(changes) <= snapshot.size * MAX_CHANGED


def _take(mirror: Mirror, cache: ContentCache) -> Snapshot | None:
    if mirror.version is None:
        return None
    rows = [row for row in mirror.current_rows() if not _is_large(row)]
    size_bytes = _size_bytes(rows)
    if size_bytes < MIN_TABLE_BYTES:
        return None
    _check_size(size_bytes)
    shared = [
        SharedRow(
            row.key,
            row.content or b'',
            row.content is not None,
            row.removed,
            row.version,
        )
        for row in rows
    ]
    answer = TableAnswer(shared, mirror.version, mirror.store_s)
    content = default_codec().encode(Envelope(Kind.reply, 0, answer))
    _check_size(len(content))
    digest = cache.pack(content).digest
    return Snapshot(digest, mirror.era, mirror.version, len(rows))


def _check_size(size_bytes: int) -> None:
    if size_bytes > DOCUMENT_BYTES:
        logger.warning('table too large', extra={'size_bytes': size_bytes})
        raise PlatformUnavailableError('the table is too large for an answer')


def _size_bytes(rows: Iterable[Row]) -> int:
    return sum(len(row.content or b'') for row in rows)


def _is_large(row: Row) -> bool:
    return len(row.content or b'') >= MIN_BYTES
