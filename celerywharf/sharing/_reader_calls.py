"""A host's questions to the reader of its zone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine, Iterable, MutableMapping
from dataclasses import dataclass
from typing import Any

from celerywharf.exceptions import (
    NotFoundError,
    PeerUnreachableError,
)
from celerywharf.limits import StatedLimits
from celerywharf.platform import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    Position,
    ReadResult,
    StoreEra,
    boot_time_s,
)
from celerywharf.routing import AnswerTiming
from celerywharf.sharing._announcers import Announcer
from celerywharf.sharing._answers import SharedTable, decode_rows
from celerywharf.sharing._content_exchange import ContentExchange, Source
from celerywharf.sharing._content_waits import ContentWaits
from celerywharf.sharing._freshness import Inquiry, plan_inquiry
from celerywharf.sharing._limit_messages import from_message
from celerywharf.sharing._replies import ReplyCheck
from celerywharf.sharing._store_clock import relayed_offset
from celerywharf.wire.sharing import WHOLE_TABLE, TableAnswer, TableQuestion

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DatedAnswer:
    """An answer of the reader.

    Attributes:
        reply: the answer.
        timing: when the store gave its rows to the reader.
        known_s: as of when the table is known once it is whole.
    """

    reply: TableAnswer
    timing: AnswerTiming
    known_s: float


@dataclass(slots=True)
class Arrival:
    """Rows whose contents are still on their way.

    Attributes:
        after: position after which they were requested.
        answered: the newest answer that names them.
        digests: of the contents that were missing.
        reader: who is asked for them.
        transfer: gets them.
    """

    after: Position
    answered: DatedAnswer
    digests: tuple[bytes, ...]
    reader: Source
    transfer: asyncio.Task[None]

    def is_from(self, reader: Source, missing: tuple[bytes, ...]) -> bool:
        """Return whether it gets what is missing from a reader."""
        return (
            self.reader.link is reader.link
            and not self.transfer.done()
            and set(missing) <= set(self.digests)
        )


class ReaderCalls:
    """Asks the zone's reader for tables.

    Large contents come apart from the rows.  Until they have come, each
    answer still tells as of when the older rows were the newest but for
    those, and which API keys are gone.

    Attributes:
        tables: the tables that this host has read, by name.
        limits: request limits that servers have stated.
        exchange: gets large contents.
        replies: checks the replies of readers.
        announcer: says what the reader is told of this host; None if that is
            nothing.
        arrivals: rows whose contents are on their way, by table.
        waits: since when contents of a table are missing.
    """

    def __init__(
        self,
        era: StoreEra,
        tables: MutableMapping[str, SharedTable],
        limits: StatedLimits,
        exchange: ContentExchange,
    ) -> None:
        self.era = era
        self.tables = tables
        self.limits = limits
        self.exchange = exchange
        self.replies = ReplyCheck(era)
        self.announcer: Announcer | None = None
        self.arrivals: dict[str, Arrival] = {}
        self.waits = ContentWaits()
        exchange.cache.users.append(self._digests_in_use)

    def plan(self, table: str) -> Inquiry | None:
        """Return the next question to the reader.

        Returns:
            None if there is no time for one, or if the reader has not given
            contents that it names: then the store is to be called.
        """
        now_s = boot_time_s()
        wait = self.waits.give_up(table, now_s)
        if wait is None:
            return plan_inquiry(self.tables[table].left_s(now_s))
        logger.warning(
            'contents of a table given up',
            extra={
                'table': table,
                'waited_s': round(now_s - wait.since_s, 3),
                'reason': wait.reason,
            },
        )
        return None

    async def ask(
        self, reader: Source, table: str, after: Position, inquiry: Inquiry
    ) -> tuple[ReadResult, int]:
        """Return the reader's answer and the number of hosts of the zone.

        Raises:
            HistoryGoneError: the whole table must be read.
            CelerywharfError: the reader has not answered, or a content has
                stopped coming.
        """
        sent_s = boot_time_s()
        arrival = self._arrival(table, after)
        if arrival is not None and arrival.reader.link is not reader.link:
            # What has come already is kept.
            self.drop(table)
            arrival = None
        question = TableQuestion(
            table,
            after.version,
            inquiry.wait_s,
            after.era,
            self.announcer.announcement() if self.announcer else [],
            by_digest=True,
            known=arrival.answered.reply.version if arrival else 0,
            # What is known of the configuration is confirmed before it is
            # whole; a snapshot does not tell that.
            by_snapshot=table == SERVER_TABLE,
        )
        reply = await _unless_arrived(
            reader.link.request(reader.address, question, inquiry.timeout_s),
            arrival,
        )
        if reply is None:
            return self._arrived(table), 0
        if reply.version == WHOLE_TABLE:
            self.era.observe(reply.era)
            timing = AnswerTiming(
                sent_s, boot_time_s(), 0, relayed=True, era=reply.era
            )
            nothing = ReadResult((), after.version, timing, incomplete=True)
            return nothing, reply.zone_hosts
        self.replies.check(reply)
        self._learn_limits(reply)
        answered = self._date(table, reply, sent_s)
        return self._resolve(reader, table, after, answered), reply.zone_hosts

    def drop(self, table: str) -> None:
        """Stop to wait for the contents of a table."""
        arrival = self.arrivals.pop(table, None)
        if arrival is not None:
            self._record_end(table, arrival.transfer)
            arrival.transfer.cancel()

    def read_elsewhere(self, table: str) -> None:
        """Stop to wait for contents: the store has given the rows."""
        self.drop(table)
        self._end_wait(table)

    def close(self) -> None:
        """Stop to wait for any contents."""
        for table in tuple(self.arrivals):
            self.drop(table)

    def _date(
        self, table: str, reply: TableAnswer, sent_s: float
    ) -> DatedAnswer:
        """Return an answer with its times; record what it confirms."""
        received_s = boot_time_s()
        freshness = self.tables[table].freshness
        known_s = min(sent_s + reply.store_answered_s, received_s)
        if not reply.snapshot:
            freshness.confirm(known_s)
        if reply.receiving and table == CONFIGURATION_TABLE:
            freshness.hold(received_s)
        timing = AnswerTiming(
            sent_s,
            received_s,
            reply.store_s,
            relayed=True,
            era=reply.era,
            offset=relayed_offset(reply, sent_s, received_s),
        )
        return DatedAnswer(reply, timing, known_s)

    def _arrival(self, table: str, after: Position) -> Arrival | None:
        """Return what is on its way of the changes after a position."""
        arrival = self.arrivals.get(table)
        if arrival is None:
            return None
        if (
            arrival.after != after
            or arrival.answered.reply.era != self.era.current
        ):
            self.drop(table)
            return None
        if _has_failed(arrival.transfer):
            # Another content has replaced it.
            self.drop(table)
            return None
        return arrival

    def _arrived(self, table: str) -> ReadResult:
        """Return the rows whose contents have come.

        Raises:
            NotFoundError: others have taken the place of a content meanwhile.
        """
        answered = self.arrivals.pop(table).answered
        if self._missing(answered.reply):
            raise NotFoundError('a content is not kept any more')
        return self._whole(table, answered)

    def _whole(self, table: str, answered: DatedAnswer) -> ReadResult:
        reply = answered.reply
        rows = decode_rows(reply, self.exchange.cache)
        self.tables[table].freshness.confirm(answered.known_s)
        self._end_wait(table)
        return ReadResult(rows, reply.version, answered.timing)

    def _digests_in_use(self) -> Iterable[bytes]:
        """Yield the digests of rows that are known or on their way."""
        for table in self.tables.values():
            yield from table.digests(self.exchange.cache)
        for arrival in self.arrivals.values():
            yield from _named(arrival.answered.reply)

    def _missing(self, reply: TableAnswer) -> tuple[bytes, ...]:
        """Return the digests of contents that this host lacks."""
        cache = self.exchange.cache
        return tuple(
            digest for digest in _named(reply) if cache.find(digest) is None
        )

    def _resolve(
        self,
        reader: Source,
        table: str,
        after: Position,
        answered: DatedAnswer,
    ) -> ReadResult:
        """Return the rows, or the older ones while contents are missing."""
        reply = answered.reply
        missing = self._missing(reply)
        if not missing:
            self.drop(table)
            return self._whole(table, answered)
        self._report_wait(reader, table, missing)
        arrival = self.arrivals.get(table)
        if arrival is None or not arrival.is_from(reader, missing):
            self.drop(table)
            transfer = asyncio.ensure_future(self._fetch(missing, reader))
            transfer.add_done_callback(_observe)
            arrival = Arrival(after, answered, missing, reader, transfer)
            self.arrivals[table] = arrival
        arrival.answered = answered
        return ReadResult(
            (),
            after.version,
            answered.timing,
            incomplete=True,
            removed_keys=(
                tuple(reply.removed_keys) if reply.removals_known else None
            ),
        )

    def _report_wait(
        self, reader: Source, table: str, missing: tuple[bytes, ...]
    ) -> None:
        now_s = boot_time_s()
        wait = self.waits.lacks(table, len(missing), now_s)
        if not wait.is_due(now_s):
            return
        wait.reported_s = now_s
        logger.warning(
            'contents of a table are missing',
            extra={
                'table': table,
                'reader': str(reader.address),
                'missing': wait.missing,
                'waited_s': round(now_s - wait.since_s, 3),
                'failures': wait.failures,
                'replacements': wait.replacements,
                'reason': wait.reason,
            },
        )

    def _record_end(self, table: str, transfer: asyncio.Task[None]) -> None:
        """Record how a transfer ends, unless it has what it was to get."""
        if not transfer.done() or transfer.cancelled():
            self.waits.replaced(table)
            return
        error = transfer.exception()
        if error is not None:
            self.waits.failed(table, str(error))

    def _end_wait(self, table: str) -> None:
        wait = self.waits.ended(table)
        if wait is not None and wait.reported_s is not None:
            waited_s = boot_time_s() - wait.since_s
            logger.info(
                'contents of a table are complete',
                extra={'table': table, 'waited_s': round(waited_s, 3)},
            )

    async def _fetch(self, digests: tuple[bytes, ...], reader: Source) -> None:
        for digest in digests:
            await self.exchange.fetch(digest, reader)

    def _learn_limits(self, reply: TableAnswer) -> None:
        for limit in reply.limits:
            statement = from_message(limit)
            if statement is not None:
                self.limits.merge(statement)


def _named(reply: TableAnswer) -> Iterable[bytes]:
    """Yield the digests of the contents that an answer needs."""
    if reply.snapshot:
        yield reply.snapshot
    yield from (row.digest for row in reply.rows if row.digest)


async def _unless_arrived(
    question: Coroutine[Any, Any, TableAnswer], arrival: Arrival | None
) -> TableAnswer | None:
    """Return the answer; None if all contents have arrived before it.

    Raises:
        PeerUnreachableError: the contents have stopped coming.
        CelerywharfError: the reader has not answered.
    """
    task = asyncio.ensure_future(question)
    try:
        if arrival is not None and await _ends_first(arrival, task):
            return None
        return await task
    finally:
        task.cancel()


async def _ends_first(
    arrival: Arrival, question: asyncio.Task[TableAnswer]
) -> bool:
    await asyncio.wait(
        {question, arrival.transfer}, return_when=asyncio.FIRST_COMPLETED
    )
    if not arrival.transfer.done() or arrival.transfer.cancelled():
        return False
    error = arrival.transfer.exception()
    if isinstance(error, PeerUnreachableError):
        raise error
    return error is None


def _has_failed(transfer: asyncio.Task[None]) -> bool:
    if not transfer.done():
        return False
    return transfer.cancelled() or transfer.exception() is not None


def _observe(transfer: asyncio.Task[None]) -> None:
    """Take the error of a transfer that nobody waits for any more."""
    if not transfer.cancelled():
        transfer.exception()
