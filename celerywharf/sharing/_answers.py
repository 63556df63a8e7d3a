"""Answers of a zone's reader to the other fronts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.platform import (
    CONFIGURATION_KEY,
    HistoryGoneError,
    ReadResult,
    Row,
)
from celerywharf.sharing._contents import MIN_BYTES, ContentCache
from celerywharf.sharing._freshness import Freshness
from celerywharf.sharing._mirror import Mirror
from celerywharf.sharing._removals import Removals
from celerywharf.sharing._snapshots import (
    Snapshot,
    TableSnapshots,
    add_to_snapshot,
    rows_beside,
)
from celerywharf.units import SMALL_MESSAGE_BYTES
from celerywharf.wire import FRAME_LIMIT_BYTES
from celerywharf.wire.sharing import (
    WHOLE_TABLE,
    SharedRow,
    TableAnswer,
    TableQuestion,
)

# A reader without an answer from the store for this long reports an error, so
# that the other fronts read the store themselves in time to see that a server
# is leaving.
MAX_STORE_ANSWER_AGE_S = 2.0
# An answer of the store larger than this may keep a reader from the next one.
LARGE_ANSWER_BYTES = SMALL_MESSAGE_BYTES
# More changes are read as a whole table, large parts of which come apart.
MAX_CHANGES_BYTES = FRAME_LIMIT_BYTES // 2
# A large answer that has stopped coming says nothing.  After it the reader
# waits for more changes, then calls the store again.
RECEIVING_S = 0.8


@dataclass(slots=True)
class SharedTable:
    """A table as last read by this front.

    Attributes:
        mirror: the rows of the table.
        store_answer_s: when the store last answered this front's own call for
            the table; readings from another front do not count.
        freshness: as of when the table is known, whoever told it.
        changed: set and replaced by a new event at each reading.
        received_s: when the last bytes of a large answer of the store arrived
            that is not complete yet, or only just.
        removals: which API keys are gone since when.
        snapshots: for hosts that read the whole table.
        condense: returns what is kept of a row; None if all of it is.
    """

    mirror: Mirror = field(default_factory=Mirror)
    store_answer_s: float = float('-inf')
    freshness: Freshness = field(default_factory=Freshness)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    received_s: float = float('-inf')
    removals: Removals = field(default_factory=Removals)
    snapshots: TableSnapshots = field(default_factory=TableSnapshots)
    condense: Callable[[Row], Row] | None = None

    def on_store_answer(self, answered_s: float) -> None:
        """Record a complete answer of the store to this front.

        A large answer is old when it is complete; the next follows soon.
        """
        self.store_answer_s = answered_s
        self.freshness.confirm(answered_s)

    def condensed(self, reading: ReadResult) -> ReadResult:
        """Return a reading with what is kept of its rows."""
        if self.condense is None:
            return reading
        return replace(reading, rows=tuple(map(self.condense, reading.rows)))

    def on_received(self, size_bytes: int, now_s: float) -> None:
        """Record how much of an answer of the store has arrived."""
        if size_bytes >= LARGE_ANSWER_BYTES:
            self.received_s = now_s

    def left_s(self, now_s: float) -> float:
        """Return how long this host may rely on what is known."""
        return self.freshness.left_s(now_s)

    def fresh_left_s(self, now_s: float) -> float:
        """Return how long the last answer of the store may be passed on."""
        return self.store_answer_s + MAX_STORE_ANSWER_AGE_S - now_s

    def may_answer(self, question: TableQuestion, now_s: float) -> bool:
        """Return whether what is known answers another host's question."""
        if self.fresh_left_s(now_s) > 0:
            return True
        return question.by_digest and self.is_receiving(now_s)

    def is_receiving(self, now_s: float) -> bool:
        """Return whether the store is sending a large answer."""
        return now_s - self.received_s < RECEIVING_S

    def digests(self, cache: ContentCache) -> Iterable[bytes]:
        """Yield the digests of the contents that this table needs."""
        if self.snapshots.newest is not None:
            yield self.snapshots.newest.digest
        rows = self.mirror.rows.values()
        yield from cache.digests(
            row.content
            for row in rows
            if row.content is not None and len(row.content) >= MIN_BYTES
        )

    def notify(self) -> None:
        """Wake up all tasks that wait for a change."""
        mirror = self.mirror
        row = mirror.rows.get(CONFIGURATION_KEY)
        self.removals.learn(mirror.era, row, mirror.version or 0)
        self.changed.set()
        self.changed = asyncio.Event()


async def answer(
    table: SharedTable,
    question: TableQuestion,
    now: Callable[[], float],
    era: Callable[[], int] = int,
    cache: ContentCache | None = None,
) -> TableAnswer:
    """Answer another front's request for a table or its changes.

    Returns as soon as there are rows to send, and without rows after
    ``question.wait_s``.

    Args:
        table: the requested table.
        question: the version after which changes are requested, and how long
            to wait for them.
        now: the clock on which ``store_answer_s`` was taken, in seconds.
        era: returns the newest era of the store that is known; a table of an
            earlier one is not sent.
        cache: compresses large contents; None to send all of them inside
            the answer.

    Raises:
        PlatformUnavailableError: the store has not answered this front within
            ``MAX_STORE_ANSWER_AGE_S``, or the table has not been read yet.
        HistoryGoneError: the changes after the given version are not kept any
            more, or an era has begun; the whole table must be read.
    """
    deadline_s = now() + question.wait_s
    while True:
        now_s = now()
        left_s = deadline_s - now_s
        reply = _current_answer(table, question, era(), cache)
        if _is_ready(table, question, reply, now_s, left_s):
            return replace(reply, receiving=table.is_receiving(now_s))
        if left_s <= 0:
            return _receiving_answer(table, question, now_s, era())
        fresh_left_s = table.fresh_left_s(now_s)
        await _wait_for_change(
            table, min(left_s, fresh_left_s) if fresh_left_s > 0 else left_s
        )


def _is_ready(
    table: SharedTable,
    question: TableQuestion,
    reply: TableAnswer | None,
    now_s: float,
    left_s: float,
) -> bool:
    if reply is None or not table.may_answer(question, now_s):
        return False
    has_rows = reply.rows or reply.snapshot
    has_news = has_rows and table.mirror.last_change > question.known
    return left_s <= 0 or bool(has_news)


def _receiving_answer(
    table: SharedTable, question: TableQuestion, now_s: float, era: int
) -> TableAnswer:
    """Return that the first reading of a table is on its way.

    Raises:
        CelerywharfError: it is not.
    """
    if question.by_digest and table.is_receiving(now_s):
        return TableAnswer([], WHOLE_TABLE, 0, era=era, receiving=True)
    raise _failure(table, question, era)


def _failure(
    table: SharedTable, question: TableQuestion, era: int
) -> CelerywharfError:
    """Return why there is no answer.

    In a new era of the store this front reads the table within one poll, while
    the other front asks for the whole table.
    """
    if question.after != WHOLE_TABLE and table.mirror.era < era:
        return HistoryGoneError('the store has come back from a copy')
    return PlatformUnavailableError('the reader hears no store')


async def _wait_for_change(table: SharedTable, timeout_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await table.changed.wait()


def _current_answer(
    table: SharedTable,
    question: TableQuestion,
    era: int,
    cache: ContentCache | None,
) -> TableAnswer | None:
    mirror = table.mirror
    if mirror.version is None or mirror.era < era:
        return None
    snapshot = _snapshot(table, question, cache)
    rows = _requested_rows(mirror, question, snapshot)
    version = max(question.after, mirror.version)
    removed = table.removals.after(question.after) if rows else []
    return TableAnswer(
        _encode_rows(rows, cache if question.by_digest else None),
        version,
        mirror.store_s,
        era=mirror.era,
        removals_known=removed is not None,
        removed_keys=removed or [],
        snapshot=snapshot.digest if snapshot else b'',
    )


def _requested_rows(
    mirror: Mirror, question: TableQuestion, snapshot: Snapshot | None
) -> tuple[Row, ...]:
    """Return the rows that are sent beside a snapshot, or without one.

    Raises:
        HistoryGoneError: the changes after the given version are not kept.
    """
    if snapshot:
        return rows_beside(snapshot, mirror)
    if question.after == WHOLE_TABLE:
        return mirror.current_rows()
    if question.era != mirror.era or not mirror.covers(question.after):
        raise HistoryGoneError('the reader no longer has these changes')
    changes = mirror.changes_since(question.after)
    if _sent_bytes(changes, question) > MAX_CHANGES_BYTES:
        raise HistoryGoneError('more changes than an answer holds')
    return changes


def _sent_bytes(rows: Iterable[Row], question: TableQuestion) -> int:
    """Return the size of the contents that are sent inside an answer."""
    sizes = (len(row.content or b'') for row in rows)
    return sum(
        size for size in sizes if not question.by_digest or size < MIN_BYTES
    )


def _snapshot(
    table: SharedTable, question: TableQuestion, cache: ContentCache | None
) -> Snapshot | None:
    if cache is None or not question.by_snapshot:
        return None
    if question.after != WHOLE_TABLE:
        return None
    return table.snapshots.find(table.mirror, cache)


def _encode_rows(
    rows: Iterable[Row], cache: ContentCache | None
) -> list[SharedRow]:
    return [_encode_row(row, cache) for row in rows]


def _encode_row(row: Row, cache: ContentCache | None) -> SharedRow:
    content = row.content or b''
    encoded = SharedRow(
        row.key, content, row.content is not None, row.removed, row.version
    )
    if cache is None or len(content) < MIN_BYTES:
        return encoded
    return replace(encoded, content=b'', digest=cache.pack(content).digest)


def decode_rows(
    reply: TableAnswer, cache: ContentCache | None = None
) -> tuple[Row, ...]:
    """Convert the rows of an answer to rows of the store client.

    Args:
        reply: the answer.
        cache: has all contents that the answer names by their digests.

    Raises:
        ProtocolError: the content that should be a snapshot is none.
    """
    rows = reply.rows
    snapshot = cache and cache.find(reply.snapshot)
    if snapshot:
        rows = add_to_snapshot(snapshot.plain, rows)
    return tuple(
        Row(
            row.key,
            _content(row, cache) if row.readable else None,
            row.removed,
            row.version,
        )
        for row in rows
    )


def _content(row: SharedRow, cache: ContentCache | None) -> bytes:
    known = cache and cache.find(row.digest)
    return known.plain if known else row.content
