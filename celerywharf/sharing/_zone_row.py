"""The row of a zone in the store, which names its reader."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from celerywharf.exceptions import CelerywharfError
from celerywharf.platform import Row, StoreClient, boot_time_s
from celerywharf.routing import AnswerTiming
from celerywharf.sharing._election import Reader
from celerywharf.sharing._entries import (
    READER_TABLE,
    decode_reader,
    encode_reader,
)
from celerywharf.sharing._settled_era import SettledEra
from celerywharf.structures import HostIdentity

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.1


class ZoneRow:
    """Reads and writes the zone's row.

    Attributes:
        identity: this front.
        candidate: the entry that this front writes.
        settled_era: tells whether an era of the store has only begun.
        row: as last read; None if the store has none.
        checked: set once the row has been read and applied, or a call for
            that has failed.
    """

    def __init__(
        self, store: StoreClient, identity: HostIdentity, candidate: Reader
    ) -> None:
        self.store = store
        self.identity = identity
        self.candidate = candidate
        self.settled_era = SettledEra(store.era)
        self.row: Row | None = None
        self.checked = asyncio.Event()
        store.era.subscribers.append(self._on_store_restored)

    @property
    def reader(self) -> Reader | None:
        """Return the reader that the row names; None without one."""
        return decode_reader(self.row)

    async def read(self) -> AnswerTiming:
        """Read the row; return the timing of the store's answer.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        reading = await self.store.read_row(
            READER_TABLE, self.identity.availability_zone
        )
        self.row = next(iter(reading.rows), None)
        return reading.timing

    async def write(self, row: Row | None) -> bool:
        """Name this front if the row in the store is still the given one.

        Returns:
            Whether it was written; if not, ``row`` is what the store has.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        settled = self.settled_era.settled or 0
        written = await self.store.write(
            READER_TABLE,
            self.identity.availability_zone,
            encode_reader(
                self.identity.name,
                replace(self.candidate, settled_era=settled),
            ),
            row.version if row else 0,
        )
        if written.version is None:
            self.row = written.current
            return False
        self.settled_era.written = settled
        return True

    async def keep_settled_era(self, is_reader: Callable[[], bool]) -> None:
        """Name each era that has settled, for fronts that start later.

        Args:
            is_reader: returns whether this front is the zone's reader.
        """
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if is_reader() and self.settled_era.write_due(boot_time_s()):
                try:
                    await self._write_again()
                except CelerywharfError as error:
                    logger.info(
                        'zone row not written',
                        extra={'reason': error.message},
                    )

    async def _write_again(self) -> None:
        await self.read()
        if self.candidate.same_process(self.reader):
            await self.write(self.row)

    def _on_store_restored(self) -> None:
        self.settled_era.begin(boot_time_s())
