"""Answers of a front that reads for its zone."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.platform import HistoryGoneError, Row
from celerywharf.sharing._mirror import Mirror
from celerywharf.wire.sharing import (
    WHOLE_TABLE,
    SharedRow,
    TableAnswer,
    TableQuestion,
)

# A reader that has not heard the store for this long says so, and the others
# ask the store themselves in time to see that a server is leaving.
STALE_S = 2.0


@dataclass(slots=True)
class SharedTable:
    """A table as this front knows it.

    Attributes:
        mirror: what it holds.
        heard_s: when this front itself last heard the store about it.
        changed: set and replaced at each reading.
    """

    mirror: Mirror = field(default_factory=Mirror)
    heard_s: float = float('-inf')
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Let those who wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()


async def answer(
    table: SharedTable,
    question: TableQuestion,
    now: Callable[[], float],
) -> TableAnswer:
    """Answer another front, once there is something to tell or time is over.

    Args:
        table: the table that it asks for.
        question: what it wants.
        now: the clock that ``heard_s`` is read from.

    Raises:
        PlatformUnavailableError: this front does not hear the store.
        HistoryGoneError: the changes are not known any more.
    """
    ends_s = now() + question.wait_s
    while True:
        told = _told(table, question)
        fresh_s = table.heard_s + STALE_S - now()
        left_s = ends_s - now()
        if fresh_s > 0 and told is not None and (told.rows or left_s <= 0):
            return told
        if left_s <= 0:
            raise PlatformUnavailableError('the reader hears no store')
        await _change(table, min(left_s, fresh_s) if fresh_s > 0 else left_s)


async def _change(table: SharedTable, longest_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(longest_s):
            await table.changed.wait()


def _told(table: SharedTable, question: TableQuestion) -> TableAnswer | None:
    mirror = table.mirror
    if mirror.version is None:
        return None
    if question.after == WHOLE_TABLE:
        rows = mirror.present()
    elif mirror.tells_since(question.after):
        rows = mirror.since(question.after)
    else:
        raise HistoryGoneError('the reader dropped the history')
    version = max(question.after, mirror.version)
    return TableAnswer(_shared(rows), version, mirror.store_s)


def _shared(rows: Iterable[Row]) -> list[SharedRow]:
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


def rows_of(told: TableAnswer) -> tuple[Row, ...]:
    """Return the rows of an answer."""
    return tuple(
        Row(
            row.key,
            row.content if row.readable else None,
            row.removed,
            row.version,
        )
        for row in told.rows
    )
