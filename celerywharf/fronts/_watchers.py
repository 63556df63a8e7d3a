"""Follow the tables of the platform's store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from celerywharf.backends import BackendServer, Condition
from celerywharf.exceptions import CelerywharfError, ProtocolError
from celerywharf.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    HistoryGoneError,
    ReadResult,
    Row,
    StoreClient,
    decode_backend_server,
    decode_configuration,
)
from celerywharf.routing import Knowledge
from celerywharf.sharing import SharedStore
from celerywharf.tasks import Part
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

# Short enough that a host which loses the store has served for the time in
# which its knowledge may be trusted, counted from the loss.
CONFIGURATION_POLL_S = 2.0
# Bounds how long a connection that went silent hides a leaving server.
SERVER_POLL_S = 2.5
# Changes come in bursts; one call brings those of this time.  A configuration
# has 2.5 s to take effect; servers that are back after a crash are needed soon.
CONFIGURATION_GATHER_S = 0.5
SERVER_GATHER_S = 0.25
# After failed calls; a store that is back is found within the last one.
BACKOFF_S = (0.2, 0.4, 0.7)
JITTER = 0.3  # share of a wait that is random
EXPIRY_PERIOD_S = 0.25
# Later than any outcome of a server that is gone; a few hundred leave an hour.
SWEEP_PERIOD_S = 30.0

TableSource = StoreClient | SharedStore


@dataclass(frozen=True, slots=True)
class Expire:
    """Time to drop entries that did not come back."""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Time to forget servers that are gone."""


class TableWatcher(Part):
    """Reads a table, then follows its changes.

    Attributes:
        version: to go on from; None until the table is read.
        failures: failed calls in a row.
    """

    table = ''
    poll_s: float = 0
    gather_s: float = 0

    def __init__(self, store: TableSource, random: Random) -> None:
        super().__init__()
        self.store = store
        self.random = random
        self.version: int | None = None
        self.failures = 0

    def start(self) -> None:
        """Follow the table from now on."""
        super().start()
        self.spawn(self._follow())

    def take_all(self, reading: ReadResult) -> None:
        """Take a reading of the whole table."""
        raise NotImplementedError

    def take_changes(self, reading: ReadResult) -> None:
        """Take the rows that changed."""
        raise NotImplementedError

    def lost(self) -> None:
        """Note that the store does not answer."""

    def regained(self) -> None:
        """Note that the store answers again."""

    async def _follow(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                logger.info('history gone', extra={'table': self.table})
                self.version = None
            except CelerywharfError as error:
                await self._pause(error)

    async def _step(self) -> None:
        if self.version is None:
            reading = await self.store.read(self.table)
            self._note_answer()
            self.take_all(reading)
        else:
            reading = await self.store.watch(
                self.table,
                self.version,
                self.poll_s,
            )
            self._note_answer()
            self.take_changes(reading)
        self.version = reading.version
        if reading.rows and not reading.sighting.relayed:
            await asyncio.sleep(self.gather_s)

    def _note_answer(self) -> None:
        if self.failures:
            logger.info(
                'store regained',
                extra={'table': self.table, 'failures': self.failures},
            )
            self.failures = 0
            self.regained()

    async def _pause(self, error: CelerywharfError) -> None:
        if not self.failures:
            logger.warning(
                'store lost',
                extra={'table': self.table, 'reason': error.message},
            )
            self.lost()
        wait_s = BACKOFF_S[min(self.failures, len(BACKOFF_S) - 1)]
        self.failures += 1
        await asyncio.sleep(wait_s * (1 + JITTER * self.random.random()))


class ConfigurationWatcher(TableWatcher):
    """Keeps the configuration current."""

    table = CONFIGURATION_TABLE
    poll_s = CONFIGURATION_POLL_S
    gather_s = CONFIGURATION_GATHER_S

    def __init__(
        self,
        store: TableSource,
        random: Random,
        knowledge: Knowledge,
    ) -> None:
        super().__init__(store, random)
        self.knowledge = knowledge

    def take_all(self, reading: ReadResult) -> None:
        """Take the configuration."""
        self.take_changes(reading)

    def take_changes(self, reading: ReadResult) -> None:
        """Take the configuration if it changed."""
        for row in reading.rows:
            if row.key == CONFIGURATION_KEY and row.content is not None:
                self._offer(row.content)
        if self.knowledge.configuration is not None:
            self.knowledge.confirm(reading.sighting)

    def _offer(self, content: bytes) -> None:
        try:
            configuration = decode_configuration(content)
        except ProtocolError as error:
            logger.error(
                'configuration unreadable',
                extra={'reason': error.message},
            )
            return
        if self.knowledge.offer(configuration):
            logger.info(
                'configuration in force',
                extra={
                    'version': configuration.version,
                    'routes': sum(map(len, configuration.routes.values())),
                },
            )


class ServerWatcher(TableWatcher):
    """Keeps the list of backend servers current."""

    table = SERVER_TABLE
    poll_s = SERVER_POLL_S
    gather_s = SERVER_GATHER_S

    def __init__(
        self,
        store: TableSource,
        random: Random,
        condition: Condition,
        timers: TimerService,
    ) -> None:
        super().__init__(store, random)
        self.condition = condition
        self.directory = condition.directory
        self.timers = timers

    def start(self) -> None:
        """Follow the table and drop what does not come back."""
        super().start()
        self.timers.every(EXPIRY_PERIOD_S, self.post, Expire())
        self.timers.every(SWEEP_PERIOD_S, self.post, Sweep())

    def handle(self, message: Any) -> None:
        """Drop entries that stayed away, and what is known of their servers."""
        match message:
            case Expire():
                for name in self.directory.expire(self.timers.now()):
                    logger.info('backend server gone', extra={'server': name})
            case Sweep():
                self.condition.sweep()

    def take_all(self, reading: ReadResult) -> None:
        """Replace the list."""
        servers = list(self._decoded(reading.rows))
        self.directory.replace_all(servers, self.timers.now())
        logger.info('backend servers read', extra={'count': len(servers)})

    def take_changes(self, reading: ReadResult) -> None:
        """Apply the entries that changed."""
        now_s = self.timers.now()
        for row in reading.rows:
            if row.removed:
                logger.info('entry removed', extra={'server': row.key})
                self.directory.vanished(row.key, now_s)
        for server in self._decoded(reading.rows):
            logger.info(
                'backend server entry',
                extra={
                    'server': server.name,
                    'draining': server.draining,
                    'sequence': server.sequence,
                    'born_ms': server.born_ms,
                    'routine': not server.draining,
                },
            )
            self.directory.seen(server, now_s)

    def lost(self) -> None:
        """Keep entries that lapse meanwhile."""
        self.directory.outage()

    def regained(self) -> None:
        """Give entries time to come back."""
        self.directory.restored(self.timers.now())

    def _decoded(self, rows: Iterable[Row]) -> Iterable[BackendServer]:
        for row in rows:
            if row.removed:
                continue
            try:
                yield decode_backend_server(row.key, row.content or b'')
            except ProtocolError as error:
                logger.info(
                    'entry names no backend server',
                    extra={'server': row.key, 'reason': error.message},
                )
                self.directory.unreadable(row.key)
