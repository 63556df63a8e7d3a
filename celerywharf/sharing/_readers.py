"""Links from the reader of a zone to the readers of other zones."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.sharing._election import Reader
from celerywharf.sharing._entries import READER_TABLE, decode_reader
from celerywharf.structures import HostIdentity
from celerywharf.tasks import Part
from celerywharf.wire import LinkService, default_codec

logger = logging.getLogger(__name__)

# Readers change seldom; one that does not answer is looked up again.
LOOKUP_PERIOD_S = 5.0
MIN_LOOKUP_PERIOD_S = 1.0


class ZoneReaders(Part):
    """Sends requests to the readers of other zones, whom the store names.

    Attributes:
        store: the platform's store.
        identity: this host.
        zones: number of availability zones.
        readers: the reader of each zone, by name of the zone.
        links: links with the key of each of them.
        next_lookup_s: the rows are not read again before this time.
        lookup: the last reading of the rows; None before the first.
        is_read: the rows have been read.
        doubted: the last reader of each zone that was looked up again at once,
            as it did not answer.
    """

    def __init__(
        self, store: StoreClient, identity: HostIdentity, zones: int
    ) -> None:
        super().__init__()
        self.store = store
        self.identity = identity
        self.zones = max(zones, 1)
        self.readers: dict[str, Reader] = {}
        self.links: dict[str, LinkService] = {}
        self.next_lookup_s = float('-inf')
        self.lookup: asyncio.Task | None = None
        self.is_read = False
        self.doubted: dict[str, Reader] = {}

    @property
    def own_zone(self) -> str:
        """Return the availability zone of this host."""
        return self.identity.availability_zone

    async def request(self, zone: str, message: Any, timeout_s: float) -> Any:
        """Send a request to the reader of a zone and return its reply.

        Raises:
            PeerUnreachableError: the reader is unknown or did not answer in
                time.
            CelerywharfError: the error with which it replied.
        """
        reader = self.readers.get(zone)
        if reader is None:
            self._look_up(MIN_LOOKUP_PERIOD_S)
            raise PeerUnreachableError(f'no reader of zone {zone} is known')
        self._look_up(LOOKUP_PERIOD_S)
        try:
            return await self.links[zone].request(
                reader.address, message, timeout_s
            )
        except CelerywharfError:
            self._doubt(zone, reader)
            raise

    async def ensure_known(self) -> None:
        """Read the rows if no reader of another zone is known yet."""
        if not self.readers and self.zones > 1:
            await self.refresh()

    async def refresh(self) -> None:
        """Read the rows, unless that was done in the last second."""
        self._look_up(MIN_LOOKUP_PERIOD_S)
        if self.lookup is not None:
            await asyncio.wait({self.lookup})

    async def stop(self) -> None:
        """Stop the tasks and close all links."""
        await super().stop()
        for link in self.links.values():
            await link.close()

    def _doubt(self, zone: str, reader: Reader) -> None:
        """Look a reader up that did not answer, at once the first time.

        The rows may have been read just before it was replaced.
        """
        if self.doubted.get(zone) == reader:
            self._look_up(MIN_LOOKUP_PERIOD_S)
        elif self._look_up(0):
            self.doubted[zone] = reader

    def _look_up(self, period_s: float) -> bool:
        """Read the rows in the background, unless that was done lately.

        Returns:
            Whether a reading has been begun.
        """
        now_s = boot_time_s()
        if now_s < self.next_lookup_s - LOOKUP_PERIOD_S + period_s:
            return False
        if self.lookup is not None and not self.lookup.done():
            return False
        self.next_lookup_s = now_s + LOOKUP_PERIOD_S
        self.lookup = self.spawn(self._read_rows())
        return True

    async def _read_rows(self) -> None:
        try:
            reading = await self.store.read(READER_TABLE)
        except CelerywharfError as error:
            logger.info('no readers read', extra={'reason': error.message})
            return
        self.is_read = True
        for row in reading.rows:
            reader = decode_reader(row)
            if reader is not None and row.key != self.own_zone:
                await self._use(row.key, reader)

    async def _use(self, zone: str, reader: Reader) -> None:
        if self.readers.get(zone) == reader:
            return
        self.readers[zone] = reader
        previous = self.links.pop(zone, None)
        self.links[zone] = LinkService(
            self.identity, reader.key, default_codec()
        )
        if previous is not None:
            await previous.close()
