"""The store as a front sees it: by itself or through its zone's reader."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.metrics import Metrics
from celerywharf.platform import (
    HistoryGoneError,
    ReadResult,
    StoreClient,
    boot_time_s,
)
from celerywharf.routing import Sighting
from celerywharf.sharing._answers import SharedTable, answer, rows_of
from celerywharf.sharing._choice import Reader, ReaderChoice, Step
from celerywharf.sharing._entries import (
    READER_TABLE,
    decode_reader,
    encode_reader,
)
from celerywharf.structures import HostIdentity
from celerywharf.tasks import Part
from celerywharf.wire import LinkService, Sender, default_codec
from celerywharf.wire.sharing import WHOLE_TABLE, TableAnswer, TableQuestion

logger = logging.getLogger(__name__)

ASK_WAIT_S = 0.8  # how long a reader may wait for a change
ASK_SLACK_S = 0.5  # beyond a round trip in the zone and a busy reader
# Others hear of the store only through a reader that does: it asks often.
READER_POLL_S = 1.0
READER_SLACK_S = 0.5  # an undisturbed answer takes some milliseconds
LOOK_PERIOD_S = 0.1
START_PATIENCE_S = 0.6  # a round trip to each of store and reader, twice
# Calls overtake each other by less than this; more is another clock.
CLOCK_RESTART_S = 10.0


class SharedStore(Part):
    """Reads tables from the zone's reader, from the store when it is that.

    Whatever becomes of the reader, this front then reads the store itself:
    the reader saves calls and is never needed.

    Attributes:
        choice: whom to ask.
        tables: what this front has read of each table.
        looked: set once the zone's row has been read.
        hears: the last call of its own to the store was answered.
        store_s: the newest time of the store's clock that a reader told.
        server: answers other fronts, under this front's key.
        client: asks the reader, under the reader's key.
    """

    def __init__(
        self,
        store: StoreClient,
        choice: ReaderChoice,
        identity: HostIdentity,
        synchronize: Callable[[Sighting], None],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.store = store
        self.choice = choice
        self.identity = identity
        self.synchronize = synchronize
        self.metrics = metrics
        self.tables: dict[str, SharedTable] = defaultdict(SharedTable)
        self.looked = asyncio.Event()
        self.hears = True
        self.store_s = float('-inf')
        self.server = self._links(choice.me.key)
        self.server.subscribe(TableQuestion, self._serve)
        self.client: LinkService | None = None

    def start(self) -> None:
        """Look for the zone's reader from now on."""
        super().start()
        self.spawn(self._look_on())

    async def stop(self) -> None:
        """Close all links."""
        await super().stop()
        await self.server.close()
        if self.client is not None:
            await self.client.close()

    async def read(self, table: str) -> ReadResult:
        """Read a table.

        Raises:
            PlatformUnavailableError: neither reader nor store answered.
        """
        await self._settled()
        reading = await self._ask(table, WHOLE_TABLE)
        if reading is None:
            reading = await self._direct(table, self.store.read(table))
        self.tables[table].mirror.replace(reading)
        self.tables[table].wake()
        return reading

    async def watch(self, table: str, after: int, wait_s: float) -> ReadResult:
        """Wait for changes of a table after a version.

        Raises:
            HistoryGoneError: read the table anew.
            PlatformUnavailableError: neither reader nor store answered.
        """
        reading = await self._ask(table, after)
        if reading is None:
            reading = await self._direct(
                table,
                self._watch_store(table, after, wait_s),
            )
        self.tables[table].mirror.update(reading)
        self.tables[table].wake()
        return reading

    async def _settled(self) -> None:
        try:
            async with asyncio.timeout(START_PATIENCE_S):
                await self.looked.wait()
        except TimeoutError:
            logger.info('no reader found in time')

    async def _watch_store(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> ReadResult:
        if not self.choice.serves(boot_time_s()):
            return await self.store.watch(table, after, wait_s)
        wait_s = min(wait_s, READER_POLL_S)
        return await self.store.watch(table, after, wait_s, READER_SLACK_S)

    async def _direct(
        self, table: str, call: Awaitable[ReadResult]
    ) -> ReadResult:
        try:
            reading = await call
        except HistoryGoneError:
            raise
        except CelerywharfError:
            self.hears = False
            raise
        self.hears = True
        self.tables[table].heard_s = boot_time_s()
        self.metrics.count('table_readings', source='store')
        return reading

    async def _ask(self, table: str, after: int) -> ReadResult | None:
        """Ask the reader; None if there is none that answers."""
        reader = self.choice.reader
        if reader is None or self.client is None:
            return None
        asked_s = boot_time_s()
        try:
            told = await self.client.request(
                reader.address,
                TableQuestion(table, after, ASK_WAIT_S),
                ASK_WAIT_S + ASK_SLACK_S,
            )
            self._check_clock(told)
        except HistoryGoneError:
            raise
        except CelerywharfError as error:
            self._failed(reader, error)
            return None
        self.metrics.count('table_readings', source='reader')
        sighting = Sighting(asked_s, boot_time_s(), told.store_s, relayed=True)
        return ReadResult(rows_of(told), told.version, sighting)

    def _check_clock(self, told: TableAnswer) -> None:
        if told.store_s < self.store_s - CLOCK_RESTART_S:
            self.store_s = float('-inf')
            raise PeerUnreachableError("the store's clock started anew")
        self.store_s = max(self.store_s, told.store_s)

    def _failed(self, reader: Reader, error: CelerywharfError) -> None:
        if self.choice.failed(reader, boot_time_s()):
            logger.warning(
                'reader lost',
                extra={
                    'reader': str(reader.address),
                    'row_version': reader.version,
                    'reason': error.message,
                },
            )

    async def _serve(
        self,
        _sender: Sender,
        question: TableQuestion,
    ) -> TableAnswer:
        self.choice.asked(boot_time_s())
        return await answer(self.tables[question.table], question, boot_time_s)

    async def _look_on(self) -> None:
        while True:
            if self.hears and self.choice.due(boot_time_s()):
                try:
                    await self._look()
                except CelerywharfError as error:
                    self.choice.unknown(boot_time_s())
                    logger.info(
                        'reader of the zone unknown',
                        extra={'reason': error.message},
                    )
            await asyncio.sleep(LOOK_PERIOD_S)

    async def _look(self) -> None:
        zone = self.identity.availability_zone
        reading = await self.store.read_row(READER_TABLE, zone)
        self.synchronize(reading.sighting)
        row = next(iter(reading.rows), None)
        step = self.choice.saw(decode_reader(row), boot_time_s())
        if step is Step.take_over:
            written = await self.store.write(
                READER_TABLE,
                zone,
                encode_reader(self.identity.name, self.choice.me),
                row.version if row else 0,
            )
            if written.version is None:
                found = decode_reader(written.current)
                step = self.choice.saw(found, boot_time_s())
        self._follow(step)
        self.looked.set()

    def _follow(self, step: Step) -> None:
        logger.info(
            'reader of the zone',
            extra={
                'step': step.name,
                'reader': str((self.choice.reader or self.choice.me).address),
            },
        )
        if self.client is not None:
            self.spawn(self.client.close())
            self.client = None
        if self.choice.reader is not None:
            self.client = self._links(self.choice.reader.key)

    def _links(self, key: bytes) -> LinkService:
        return LinkService(self.identity, key, default_codec())
