"""Answers of a zone's reader to the other fronts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.platform import HistoryGoneError, Row
from celerywharf.sharing._freshness import Freshness
from celerywharf.sharing._mirror import Mirror
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


@dataclass(slots=True)
class SharedTable:
    """A table as last read by this front.

    Attributes:
        mirror: the rows of the table.
        store_answer_s: when the store last answered this front's own call for
            the table; readings from another front do not count.
        freshness: as of when the table is known, whoever told it.
        changed: set and replaced by a new event at each reading.
    """

    mirror: Mirror = field(default_factory=Mirror)
    store_answer_s: float = float('-inf')
    freshness: Freshness = field(default_factory=Freshness)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake up all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


async def answer(
    table: SharedTable,
    question: TableQuestion,
    now: Callable[[], float],
    era: Callable[[], int] = int,
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

    Raises:
        PlatformUnavailableError: the store has not answered this front within
            ``MAX_STORE_ANSWER_AGE_S``, or the table has not been read yet.
        HistoryGoneError: the changes after the given version are not kept any
            more, or an era has begun; the whole table must be read.
    """
    deadline_s = now() + question.wait_s
    while True:
        reply = _current_answer(table, question, era())
        fresh_left_s = table.store_answer_s + MAX_STORE_ANSWER_AGE_S - now()
        wait_left_s = deadline_s - now()
        if (
            fresh_left_s > 0
            and reply is not None
            and (reply.rows or wait_left_s <= 0)
        ):
            return reply
        if wait_left_s <= 0:
            raise _failure(table, question, era())
        await _wait_for_change(
            table,
            min(wait_left_s, fresh_left_s) if fresh_left_s > 0 else wait_left_s,
        )


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
) -> TableAnswer | None:
    mirror = table.mirror
    if mirror.version is None or mirror.era < era:
        return None
    if question.after == WHOLE_TABLE:
        rows = mirror.current_rows()
    elif question.era == mirror.era and mirror.covers(question.after):
        rows = mirror.changes_since(question.after)
    else:
        raise HistoryGoneError('the reader no longer has these changes')
    version = max(question.after, mirror.version)
    return TableAnswer(
        _encode_rows(rows), version, mirror.store_s, era=mirror.era
    )


def _encode_rows(rows: Iterable[Row]) -> list[SharedRow]:
    return [
        SharedRow(
            row.key,
            row.content or b'',
            row.content is not None,
            row.removed,
            row.version,
        )
        for row in rows
    ]


def decode_rows(reply: TableAnswer) -> tuple[Row, ...]:
    """Convert the rows of an answer to rows of the store client."""
    return tuple(
        Row(
            row.key,
            row.content if row.readable else None,
            row.removed,
            row.version,
        )
        for row in reply.rows
    )
