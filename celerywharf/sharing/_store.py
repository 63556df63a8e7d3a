"""Access to the store, directly or through the zone's reader."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import replace

from celerywharf.exceptions import (
    CelerywharfError,
    PeerUnreachableError,
)
from celerywharf.limits import StatedLimits
from celerywharf.metrics import Metrics
from celerywharf.platform import (
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    HistoryGoneError,
    Position,
    ReadResult,
    StoreClient,
    StoreEra,
    boot_time_s,
    outlives_copy,
    without_unusable_content,
)
from celerywharf.routing import ConfigurationCache
from celerywharf.sharing._answers import SharedTable, answer
from celerywharf.sharing._content_exchange import ContentExchange, Source
from celerywharf.sharing._election import ElectionStep, Reader, ReaderElection
from celerywharf.sharing._freshness import Inquiry
from celerywharf.sharing._lending import Lending
from celerywharf.sharing._limit_messages import to_message
from celerywharf.sharing._reader_calls import ReaderCalls
from celerywharf.sharing._store_calls import StoreCalls
from celerywharf.sharing._store_clock import (
    keep_clock_known,
    with_store_clock,
)
from celerywharf.sharing._zone_row import ZoneRow
from celerywharf.structures import HostIdentity
from celerywharf.tasks import Part
from celerywharf.wire import LinkService, Sender, default_codec
from celerywharf.wire.sharing import (
    WHOLE_TABLE,
    ContentQuestion,
    RetryQuestion,
    TableAnswer,
    TableQuestion,
)

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.1
ELECTION_CHECK_S = 0.02
# What is left for a call of the store if the zone has no reader by then.
ELECTION_MARGIN_S = 0.3
# How long a front without the table waits for the zone's next reader.
ELECTION_S = 2.0
# A read and a write of the zone's row, each about to time out.
START_TIMEOUT_S = 2.0


class SharedStore(Part):
    """Reads tables from the zone's reader, or from the store.

    The reader saves calls to the store but is never required: if it fails in
    any way, or if this front is the reader, this front reads the store itself.

    Attributes:
        election: decides which front is the zone's reader.
        tables: the tables that this front has read, by name.
        calls: this front's own calls of the store.
        zone_row: the zone's row in the store, which names its reader.
        reader_answers: the reader answered the last request, if only that it
            does not hear the store.
        exchange: passes large contents on.
        inquiries: this front's questions to the reader.
        lending: lends retries to the fronts of the zone.
        configuration_cache: knows the store's clock.
        limits: request limits that servers have stated, shared in the zone.
        server: serves the other fronts, with this front's key.
        client: link to the reader, with the reader's key; None without one.
        elected_subscribers: called when this front has become the reader.
    """

    def __init__(
        self,
        store: StoreClient,
        election: ReaderElection,
        identity: HostIdentity,
        configuration_cache: ConfigurationCache,
        lending: Lending,
        limits: StatedLimits,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.store = store
        self.election = election
        self.identity = identity
        self.configuration_cache = configuration_cache
        self.lending = lending
        self.limits = limits
        self.metrics = metrics
        self.tables: dict[str, SharedTable] = defaultdict(SharedTable)
        self.tables[CONFIGURATION_TABLE].mirror.outlives = outlives_copy
        self.tables[SERVER_TABLE].condense = without_unusable_content
        self.era.subscribers.append(self._on_store_restored)
        self.zone_row = ZoneRow(store, identity, election.candidate)
        self.calls = StoreCalls(store, election.random)
        self.reader_answers = False
        self.exchange = ContentExchange(
            election.candidate, self._create_link_service, metrics
        )
        self.inquiries = ReaderCalls(
            store.era, self.tables, limits, self.exchange
        )
        store.on_received = self._on_received
        self.server = self._create_link_service(election.candidate.key)
        self.server.subscribe(TableQuestion, self._answer_front)
        self.server.subscribe(ContentQuestion, self.exchange.answer)
        self.server.subscribe(RetryQuestion, lending.answer)
        self.server.on_link_ended = lending.link_ended
        self.client: LinkService | None = None
        self.elected_subscribers: list[Callable[[], None]] = []

    @property
    def era(self) -> StoreEra:
        """Return the newest era of the store that this front knows."""
        return self.store.era

    def start(self) -> None:
        """Start to check the zone's row and the store's clock."""
        super().start()
        self.spawn(self._check_periodically())
        self.spawn(self.zone_row.keep_settled_era(lambda: self.is_reader))
        self.spawn(
            keep_clock_known(
                self.store,
                self.configuration_cache,
                self.identity.availability_zone,
                self.election.random,
            )
        )

    async def stop(self) -> None:
        """Stop the tasks and close all links."""
        await super().stop()
        self.inquiries.close()
        await self.server.close()
        if self.client is not None:
            await self.client.close()

    async def read(self, table: str) -> ReadResult:
        """Read a whole table.

        Raises:
            PlatformUnavailableError: neither the reader nor the store answered.
        """
        await self._wait_for_first_check()
        whole = Position(self.era.current, WHOLE_TABLE)
        elected_by_s = boot_time_s() + ELECTION_S
        is_elected = True
        while is_elected:
            reader = self.election.reader
            asked_s = boot_time_s()
            inquiry = self.inquiries.plan(table)
            reading = await self._read_from_reader(table, whole, inquiry)
            is_elected = reading is None and await self._has_next_reader(
                table, elected_by_s
            )
        if reading is None:
            judged = _judged(reader, inquiry, asked_s)
            self.calls.check_due()
            reading = await self._read_from_store(
                table, self.store.read(table), judged
            )
        if not reading.incomplete:
            reading = self.tables[table].condensed(reading)
            self.tables[table].mirror.replace(reading)
            self.tables[table].notify()
            self.exchange.cache.drop_unused()
        return reading

    async def watch(
        self, table: str, after: Position, wait_s: float
    ) -> ReadResult:
        """Wait for changes of a table after a position.

        Raises:
            HistoryGoneError: the changes after it are not kept any more, or
                the store has come back from an older copy; the whole table
                must be read.
            PlatformUnavailableError: neither the reader nor the store answered.
        """
        reader = self.election.reader
        known_until_s = self.tables[table].freshness.ends_s()
        asked_s = boot_time_s()
        inquiry = self.inquiries.plan(table)
        reading = await self._read_from_reader(table, after, inquiry)
        judged = _judged(reader, inquiry, asked_s)
        if reading is None and await self._has_next_reader(table, float('inf')):
            return await self.watch(table, after, wait_s)
        if reading is None:
            self.calls.check_due()
            reading = await self._read_from_store(
                table,
                self.calls.watch(
                    table,
                    after,
                    wait_s,
                    self.tables[table].left_s(boot_time_s()),
                    has_followers=self.election.has_followers(boot_time_s()),
                ),
                judged,
            )
        if boot_time_s() > known_until_s:
            self.metrics.count('tables_confirmed_late', table=table)
        if reading.timing.era != self.tables[table].mirror.era:
            raise HistoryGoneError('the store has come back from a copy')
        if not reading.incomplete:
            reading = self.tables[table].condensed(reading)
            self.tables[table].mirror.update(reading)
            self.tables[table].notify()
            if reading.rows:
                self.exchange.cache.drop_unused()
        return reading

    async def _wait_for_first_check(self) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self.zone_row.checked.wait()
        except TimeoutError:
            logger.info('zone row not checked in time; reading from the store')

    @property
    def is_reader(self) -> bool:
        """Return whether this front reads the store for the others."""
        return self.lending.pool is not None

    async def _has_next_reader(self, table: str, latest_s: float) -> bool:
        """Return whether the zone has another reader; wait while it elects.

        If all fronts read a large table themselves meanwhile, it would take
        them longer.

        Args:
            table: what is to be read; it stays known while this front waits.
            latest_s: when to stop waiting, in seconds of CLOCK_BOOTTIME.
        """
        election = self.election
        if election.reader is not None:
            return False
        while election.reader is None and not self.is_reader:
            now_s = boot_time_s()
            left_s = min(self.tables[table].left_s(now_s), latest_s - now_s)
            if left_s < ELECTION_MARGIN_S or not self.calls.reachable:
                return False
            await asyncio.sleep(ELECTION_CHECK_S)
        return election.reader is not None

    async def _read_from_store(
        self,
        table: str,
        call: Awaitable[ReadResult],
        reader: Reader | None,
    ) -> ReadResult:
        """Return the store's answer.

        Args:
            table: name of the table.
            call: the call of the store.
            reader: the reader that was asked before and hears no store; None
                without one.
        """
        # Only the reader's calls are not spaced: the others rely on them.
        zone_hosts = 0 if self.is_reader else self.lending.share.zone_hosts
        reading = await self.calls.finish(
            call, zone_hosts, has_reader=self.reader_answers
        )
        if reader is not None:
            self._report_reader_failure(
                reader, 'it hears no store, but this front does'
            )
        self.inquiries.read_elsewhere(table)
        timing = reading.timing
        self.configuration_cache.synchronize(timing)
        answered_s = self.configuration_cache.clock.date(timing)
        self.tables[table].on_store_answer(
            timing.sent_s if answered_s is None else answered_s
        )
        self.metrics.count('table_readings', source='store')
        return reading

    async def _read_from_reader(
        self, table: str, after: Position, inquiry: Inquiry | None
    ) -> ReadResult | None:
        """Return the reader's answer; None without a reader or an answer.

        Args:
            table: name of the table.
            after: position after which changes are requested.
            inquiry: how to ask; None if there is no time for it.
        """
        reader = self.election.reader
        if reader is None or self.client is None or inquiry is None:
            return None
        sent_s = boot_time_s()
        try:
            reading, zone_hosts = await self.inquiries.ask(
                Source(reader.address, self.client), table, after, inquiry
            )
        except HistoryGoneError:
            raise
        except CelerywharfError as error:
            waited_s = boot_time_s() - sent_s
            timed_out = waited_s >= inquiry.timeout_s
            if not timed_out or inquiry.shows_failure(waited_s):
                self._assess_failure(reader, error)
            return None
        self.reader_answers = True
        self.lending.learn_hosts(zone_hosts)
        if reading.incomplete:
            self.metrics.count('incomplete_table_readings', table=table)
        else:
            self.metrics.count('table_readings', source='reader')
        return reading

    def _assess_failure(self, reader: Reader, error: CelerywharfError) -> None:
        """Record that the reader gave no answer with rows.

        A reader that only hears no store is kept, unless this front hears it:
        its next answer comes as soon as the store's.
        """
        self.reader_answers = not isinstance(error, PeerUnreachableError)
        if not self.reader_answers:
            self._report_reader_failure(reader, error.message)

    def _report_reader_failure(
        self,
        reader: Reader,
        reason: str,
    ) -> None:
        if self.election.report_failure(reader, boot_time_s()):
            self.lending.reader_lost()
            logger.warning(
                'reader lost',
                extra={
                    'reader': str(reader.address),
                    'row_version': reader.version,
                    'reason': reason,
                },
            )

    async def _answer_front(
        self,
        sender: Sender,
        question: TableQuestion,
    ) -> TableAnswer:
        arrived_s = boot_time_s()
        self.lending.record_host(sender.host)
        self.election.record_request(arrived_s)
        if self.inquiries.announcer is not None:
            self.inquiries.announcer.on_announced(question.peers)
        if question.era > self.era.current:
            self.era.observe(question.era)
        table = self.tables[question.table]
        reply = await answer(
            table,
            question,
            boot_time_s,
            lambda: self.era.current,
            self.exchange.cache,
        )
        if question.table == CONFIGURATION_TABLE:
            confirmed_s = self.configuration_cache.confirmed_store_s
            reply = replace(reply, store_s=confirmed_s)
            clock = self.configuration_cache.clock
            reply = with_store_clock(reply, clock, arrived_s, boot_time_s())
        now_s = self.configuration_cache.store_time_s(boot_time_s())
        return replace(
            reply,
            store_answered_s=table.store_answer_s - arrived_s,
            zone_hosts=self.lending.count_hosts(),
            limits=[to_message(each) for each in self.limits.current(now_s)],
        )

    def _on_received(self, table: str, size_bytes: int) -> None:
        self.tables[table].on_received(size_bytes, boot_time_s())

    def _on_store_restored(self) -> None:
        self.election.store_restored(boot_time_s(), is_reader=self.is_reader)

    async def _check_periodically(self) -> None:
        while True:
            if self.calls.reachable and self.election.check_due(boot_time_s()):
                try:
                    await self._check_row()
                except CelerywharfError as error:
                    self.election.postpone_check(boot_time_s())
                    self.zone_row.checked.set()
                    logger.info(
                        'zone row check failed',
                        extra={'reason': error.message},
                    )
            began_s = boot_time_s()
            await asyncio.sleep(CHECK_PERIOD_S)
            self.election.slept(began_s, boot_time_s())

    async def _check_row(self) -> None:
        zone_row = self.zone_row
        timing = await zone_row.read()
        self.configuration_cache.synchronize(timing)
        row = zone_row.row
        if zone_row.settled_era.learn(zone_row.reader, boot_time_s()):
            self.configuration_cache.store_restored(boot_time_s())
        step = self.election.apply_row(zone_row.reader, boot_time_s())
        if step is ElectionStep.take_over and not await zone_row.write(row):
            step = self.election.apply_row(zone_row.reader, boot_time_s())
        self._apply_step(step, replaced=row is not None)
        zone_row.checked.set()

    def _apply_step(self, step: ElectionStep, *, replaced: bool) -> None:
        logger.info(
            'reader of the zone',
            extra={
                'step': step.name,
                'reader': str(
                    (self.election.reader or self.election.candidate).address
                ),
            },
        )
        if self.client is not None:
            self.spawn(self.client.close())
            self.client = None
        reader = self.election.reader
        if reader is None:
            was_reader = self.is_reader
            self.lending.begin(after_another=replaced)
            for subscriber in () if was_reader else self.elected_subscribers:
                subscriber()
            return
        self.client = self._create_link_service(reader.key)
        self.lending.follow(reader.address, self.client)

    def _create_link_service(self, key: bytes) -> LinkService:
        return LinkService(self.identity, key, default_codec())


def _judged(
    reader: Reader | None, inquiry: Inquiry | None, asked_s: float
) -> Reader | None:
    """Return the reader if its lack of an answer shows that it has failed."""
    if inquiry is None or not inquiry.shows_failure(boot_time_s() - asked_s):
        return None
    return reader
