"""Watchers of the tables in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from celerywharf.backends import BackendServer, ServerHealth
from celerywharf.exceptions import CelerywharfError, ProtocolError
from celerywharf.forwarding import ForwardingContext
from celerywharf.fronts._loss_probes import LossProbes
from celerywharf.fronts._path_probes import PathProbes
from celerywharf.fronts._rollout_orders import OrderReader
from celerywharf.metrics import Metrics
from celerywharf.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    HistoryGoneError,
    Position,
    ReadResult,
    Row,
    StoreClient,
    boot_time_s,
    decode_backend_server,
    decode_configuration,
    decode_large_configuration,
)
from celerywharf.routing import (
    AnswerTiming,
    Configuration,
    ConfigurationCache,
)
from celerywharf.sharing import SharedStore
from celerywharf.tasks import Part
from celerywharf.timers import TimerService
from celerywharf.units import SMALL_MESSAGE_BYTES

logger = logging.getLogger(__name__)

# A host accepts keys only for a bounded time after its configuration was last
# known to be current. Polls this short keep that moment close to the loss of
# the store, so that the host can serve for most of that time.
CONFIGURATION_POLL_S = 2.0
# Limits how long a silent connection can hide that a server is leaving.
SERVER_POLL_S = 2.0
# Changes come in bursts; after a change, the next call waits for this time and
# then gets all of them at once. A configuration has 2.5 s to take effect;
# servers that return after a crash are needed sooner.
CONFIGURATION_BATCH_S = 0.5
SERVER_BATCH_S = 0.25
LARGE_BYTES = SMALL_MESSAGE_BYTES  # decoding more delays other work
# Waits after failed calls. The last one bounds how long it takes to notice that
# the store answers again.
BACKOFF_S = (0.2, 0.4, 0.7)
JITTER = 0.3  # largest random addition to a wait, as a share of it
EXPIRY_PERIOD_S = 0.25
# Outcomes of requests to a removed server arrive sooner than this; a few
# hundred servers are removed per hour.
SWEEP_PERIOD_S = 30.0

TableSource = StoreClient | SharedStore
RowSubscriber = Callable[..., None]


@dataclass(frozen=True, slots=True)
class Expire:
    """Timer message: drop removed entries that did not return in time."""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Timer message: drop the state kept for removed servers."""


class TableWatcher(Part):
    """Reads a table, then follows its changes.

    Attributes:
        table: name of the table; set by subclasses.
        poll_s: how long the store may wait for a change.
        batch_s: wait after changes, so that the next call gets several.
        position: position of the last reading; None if the whole table must
            be read.
        failures: number of consecutive failed calls.
        has_read: the whole table has been read since the start.
    """

    table = ''
    poll_s: float = 0
    batch_s: float = 0

    def __init__(self, store: TableSource, random: Random) -> None:
        super().__init__()
        self.store = store
        self.random = random
        self.position: Position | None = None
        self.failures = 0
        self.has_read = False

    def start(self) -> None:
        """Start to follow the table."""
        super().start()
        self.spawn(self._follow())

    async def prepare(self, reading: ReadResult) -> None:
        """Do what takes long before a reading is applied."""

    def apply_all(self, reading: ReadResult) -> None:
        """Apply a reading of the whole table."""
        raise NotImplementedError

    def apply_changes(self, reading: ReadResult) -> None:
        """Apply a reading of changed rows."""
        raise NotImplementedError

    def apply_incomplete(self, reading: ReadResult) -> None:
        """Learn what is known of newer rows whose contents are yet to come."""

    def on_store_lost(self) -> None:
        """Called at the first failed call."""

    def on_store_regained(self) -> None:
        """Called at the first answer after failed calls."""

    def on_history_gone(self) -> None:
        """Called if the store may have come back from an older copy."""

    async def _follow(self) -> None:
        while True:
            try:
                await self._poll_once()
            except HistoryGoneError:
                logger.info('history gone', extra={'table': self.table})
                self.position = None
                self.on_history_gone()
            except CelerywharfError as error:
                await self._back_off(error)

    async def _poll_once(self) -> None:
        position = self.position
        if position is None:
            reading = await self.store.read(self.table)
        else:
            reading = await self.store.watch(self.table, position, self.poll_s)
        self._record_answer()
        if reading.incomplete:
            self.apply_incomplete(reading)
            return
        await self.prepare(reading)
        if position is None:
            self.apply_all(reading)
            self.has_read = True
        else:
            self.apply_changes(reading)
        self.position = reading.position
        if reading.rows and not reading.timing.relayed:
            await asyncio.sleep(self.batch_s)

    def _record_answer(self) -> None:
        if self.failures:
            logger.info(
                'store regained',
                extra={'table': self.table, 'failures': self.failures},
            )
            self.failures = 0
            self.on_store_regained()

    async def _back_off(self, error: CelerywharfError) -> None:
        if not self.failures:
            logger.warning(
                'store lost',
                extra={'table': self.table, 'reason': error.message},
            )
            self.on_store_lost()
        wait_s = BACKOFF_S[min(self.failures, len(BACKOFF_S) - 1)]
        self.failures += 1
        await asyncio.sleep(wait_s * (1 + JITTER * self.random.random()))


class ConfigurationWatcher(TableWatcher):
    """Updates the configuration from its table.

    Attributes:
        metrics: counts the configurations that are unreadable.
        stored_version: version of the configuration that the store has; None
            before the first.
        row_subscribers: called with the other rows of the table that a reading
            has, whether it is of the whole table, and when the store answered.
        decoded: the last document, with the configuration that it is; None
            before the first that was not malformed.
    """

    table = CONFIGURATION_TABLE
    poll_s = CONFIGURATION_POLL_S
    batch_s = CONFIGURATION_BATCH_S

    def __init__(
        self,
        store: TableSource,
        random: Random,
        configuration_cache: ConfigurationCache,
        metrics: Metrics,
    ) -> None:
        super().__init__(store, random)
        self.configuration_cache = configuration_cache
        self.metrics = metrics
        self.stored_version: int | None = None
        self.row_subscribers: list[RowSubscriber] = []
        self.decoded: tuple[bytes, Configuration] | None = None
        store.era.subscribers.append(self.on_store_restored)

    async def prepare(self, reading: ReadResult) -> None:
        """Decode a large configuration."""
        for row in reading.rows:
            if row.key != CONFIGURATION_KEY or row.content is None:
                continue
            if len(row.content) < LARGE_BYTES or self._is_decoded(row.content):
                continue
            with contextlib.suppress(ProtocolError):
                configuration = await decode_large_configuration(row.content)
                self.decoded = (row.content, configuration)

    def apply_all(self, reading: ReadResult) -> None:
        """Apply the configuration of a whole reading."""
        self._apply(reading, is_whole=True)

    def apply_changes(self, reading: ReadResult) -> None:
        """Apply the configuration if it is among the rows.

        Every reading confirms that the known configuration is current, unless
        the store has come back from a copy that is older.
        """
        self._apply(reading, is_whole=False)

    def on_store_restored(self) -> None:
        """Give the operator time to write what the copy lacks."""
        self.configuration_cache.store_restored(boot_time_s())

    def apply_incomplete(self, reading: ReadResult) -> None:
        """Stop to accept removed keys; the others are known to be current."""
        self._pass_on(reading, is_whole=False)
        if reading.removed_keys is None:
            self.configuration_cache.synchronize(reading.timing)
            return
        self.configuration_cache.remove_keys(reading.removed_keys)
        self._confirm(reading.timing, is_complete=False)

    def _apply(self, reading: ReadResult, *, is_whole: bool) -> None:
        for row in reading.rows:
            if row.key == CONFIGURATION_KEY and row.content is not None:
                self._apply_configuration(row.content, row.version)
        self._confirm(reading.timing)
        self._pass_on(reading, is_whole=is_whole)

    def _pass_on(self, reading: ReadResult, *, is_whole: bool) -> None:
        others = [
            other for other in reading.rows if other.key != CONFIGURATION_KEY
        ]
        store_s = self._answered_s(reading.timing)
        for subscriber in self.row_subscribers:
            subscriber(others, is_whole=is_whole, store_s=store_s)

    def _answered_s(self, timing: AnswerTiming) -> float:
        """Return when the store answered, on its clock, in seconds.

        A reader that has confirmed nothing yet in an era does not state it;
        then it is the earliest time that the store may have now.
        """
        if math.isfinite(timing.store_s):
            return timing.store_s
        return self.configuration_cache.store_time_s(timing.received_s)

    def _confirm(
        self, timing: AnswerTiming, *, is_complete: bool = True
    ) -> None:
        known = self.configuration_cache.configuration
        if known is not None and self.stored_version == known.version:
            self.configuration_cache.confirm(timing, is_complete=is_complete)
        else:
            self.configuration_cache.synchronize(timing)

    def _is_decoded(self, content: bytes) -> bool:
        return self.decoded is not None and self.decoded[0] == content

    def _decode(self, content: bytes) -> Configuration:
        if self.decoded is None or not self._is_decoded(content):
            self.decoded = (content, decode_configuration(content))
        return self.decoded[1]

    def _apply_configuration(self, content: bytes, row_version: int) -> None:
        try:
            configuration = self._decode(content)
        except ProtocolError as error:
            self._report_unreadable(error.message, row_version)
            return
        self.stored_version = configuration.version
        if self.configuration_cache.offer(configuration):
            logger.info(
                'configuration in force',
                extra={
                    'version': configuration.version,
                    'routes': sum(map(len, configuration.routes.values())),
                    'malformed_priorities': configuration.malformed_priorities,
                },
            )

    def _report_unreadable(self, reason: str, row_version: int) -> None:
        known = self.configuration_cache.configuration
        self.metrics.count('unreadable_configurations')
        logger.error(
            'configuration unreadable',
            extra={
                'reason': reason,
                'row_version': row_version,
                'in_force': known and known.version,
            },
        )


class ServerWatcher(TableWatcher):
    """Updates the directory of backend servers from its table.

    Attributes:
        health: health of the backend servers, and their directory.
        metrics: counts the entries that name no usable server.
        invalid: what is wrong with such entries, by name.
    """

    table = SERVER_TABLE
    poll_s = SERVER_POLL_S
    batch_s = SERVER_BATCH_S

    def __init__(
        self,
        store: TableSource,
        random: Random,
        health: ServerHealth,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        super().__init__(store, random)
        self.health = health
        self.directory = health.directory
        self.timers = timers
        self.metrics = metrics
        self.invalid: dict[str, str] = {}
        store.era.subscribers.append(self.on_store_restored)

    def start(self) -> None:
        """Start to follow the table and to drop removed servers."""
        super().start()
        self.timers.every(EXPIRY_PERIOD_S, self.post, Expire())
        self.timers.every(SWEEP_PERIOD_S, self.post, Sweep())

    def handle(self, message: Any) -> None:
        """Drop expired entries, or the state of removed servers."""
        match message:
            case Expire():
                for name in self.directory.expire(self.timers.now()):
                    logger.info('backend server gone', extra={'server': name})
            case Sweep():
                self.health.sweep()

    def apply_all(self, reading: ReadResult) -> None:
        """Replace all entries of the directory."""
        names = {row.key for row in reading.rows}
        for name in self.invalid.keys() - names:
            self.invalid.pop(name)
        servers = list(self._decode_servers(reading.rows))
        self.directory.replace_all(servers, self.timers.now())
        logger.info('backend servers read', extra={'count': len(servers)})

    def apply_changes(self, reading: ReadResult) -> None:
        """Apply changed and removed entries."""
        now_s = self.timers.now()
        for row in reading.rows:
            if row.removed:
                logger.info('entry removed', extra={'server': row.key})
                self.invalid.pop(row.key, None)
                self.directory.removed(row.key, now_s)
        for server in self._decode_servers(reading.rows):
            logger.info(
                'backend server entry',
                extra={
                    'server': server.name,
                    'draining': server.draining,
                    'software_version': server.software_version,
                    'sequence': server.sequence,
                    'born_ms': server.born_ms,
                    'routine': not server.draining,
                },
            )
            self.directory.update(server, now_s)

    def on_store_restored(self) -> None:
        """Give servers whose entries the copy lacks time to write them."""
        self.directory.store_restored(self.timers.now())

    def on_history_gone(self) -> None:
        """Give servers time, also before the reader has heard the new era."""
        self.on_store_restored()

    def on_store_lost(self) -> None:
        """Keep entries that expire while the store does not answer."""
        self.directory.outage()

    def on_store_regained(self) -> None:
        """Give entries time to be written again."""
        self.directory.restored(self.timers.now())

    def _decode_servers(self, rows: Iterable[Row]) -> Iterable[BackendServer]:
        for row in rows:
            if row.removed:
                continue
            if row.fault:
                self._drop_invalid(row.key, row.fault)
                continue
            try:
                server = decode_backend_server(row.key, row.content or b'')
            except ProtocolError as error:
                self._drop_invalid(row.key, error.message)
                continue
            self.invalid.pop(row.key, None)
            yield server

    def _drop_invalid(self, name: str, reason: str) -> None:
        """Drop an entry that names no usable server; log it once."""
        if self.invalid.get(name) != reason:
            self.invalid[name] = reason
            self.metrics.count('invalid_server_entries')
            logger.info(
                'invalid backend server entry',
                extra={'server': name, 'reason': reason},
            )
        self.directory.unreadable(name)


def build_watchers(
    source: TableSource, random: Random, context: ForwardingContext
) -> tuple[ConfigurationWatcher, ServerWatcher, PathProbes, LossProbes]:
    """Return the watchers of the tables, of lost paths and of lost servers."""
    health = context.health
    configuration = ConfigurationWatcher(
        source, random, context.configuration_cache, context.metrics
    )
    orders = OrderReader(context.rollouts, context.configuration_cache)
    configuration.row_subscribers.append(orders.apply_rows)
    return (
        configuration,
        ServerWatcher(source, random, health, context.timers, context.metrics),
        PathProbes(health.reachability, context.transport, random),
        LossProbes(context),
    )
