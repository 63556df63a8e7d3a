"""Keeps the readers of other zones known, for a loss of the store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence

from celerywharf.platform import boot_time_s
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.tasks import Part
from celerywharf.wire.origins import OriginAnswer, OriginNotice

MIN_PERIOD_S = 1.0
MAX_PERIOD_S = 30.0
# Lookups a second of all fronts of a zone that know no other zone's reader.
ZONE_LOOKUPS_PER_S = 5
ANNOUNCEMENT_TIMEOUT_S = 0.5


class ReaderDiscovery(Part):
    """Looks up the readers of other zones while the store still names them.

    A front that becomes the reader of its zone announces that to the readers of
    the other zones, which then look it up.

    Attributes:
        shared_store: tells whether this front is the reader of its zone.
        readers: links to the readers of other zones.
        other_zones: names of the other availability zones.
        unannounced: zones whose readers may not know that this front is the
            reader of its zone.
        lookup_s: when to look the readers up next, on the clock that counts
            suspensions of the machine.
        period_s: how long after that to look them up again.
        planned: set when ``lookup_s`` has changed.
    """

    def __init__(
        self,
        shared_store: SharedStore,
        readers: ZoneReaders,
        other_zones: Sequence[str],
    ) -> None:
        super().__init__()
        self.shared_store = shared_store
        self.readers = readers
        self.other_zones = other_zones
        self.unannounced: set[str] = set()
        self.lookup_s = boot_time_s() + MIN_PERIOD_S
        self.period_s = MIN_PERIOD_S
        self.planned = asyncio.Event()
        shared_store.elected_subscribers.append(self._on_elected)

    def start(self) -> None:
        """Start to look the readers up."""
        super().start()
        if self.other_zones:
            self.spawn(self._keep_known())

    def look_up_soon(self) -> None:
        """Look the readers up: one was replaced."""
        self._plan(boot_time_s())

    def _on_elected(self) -> None:
        self.unannounced.update(self.other_zones)
        # Fronts that start together replace the rows of earlier processes.
        self._plan(boot_time_s() + MIN_PERIOD_S)

    def _plan(self, lookup_s: float) -> None:
        self.lookup_s = min(self.lookup_s, lookup_s)
        # The rows may have been read too lately to be read again at once.
        self.period_s = MIN_PERIOD_S
        self.planned.set()

    async def _keep_known(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.lookup_s - boot_time_s()):
                    await self.planned.wait()
            self.planned.clear()
            if boot_time_s() < self.lookup_s:
                continue
            self.lookup_s = boot_time_s() + self.period_s
            self.period_s = self._next_period_s()
            # Other fronts leave the store to the reader of their zone.
            if self.shared_store.is_reader or not self.readers.readers:
                await self.readers.refresh()
            await self._announce()

    def _next_period_s(self) -> float:
        if self.readers.readers:
            return min(2 * self.period_s, MAX_PERIOD_S)
        hosts = self.shared_store.lending.share.zone_hosts
        return min(max(hosts / ZONE_LOOKUPS_PER_S, MIN_PERIOD_S), MAX_PERIOD_S)

    async def _announce(self) -> None:
        """Announce this front where its election may not be known yet."""
        if not self.shared_store.is_reader:
            self.unannounced.clear()
        zones = sorted(self.unannounced & self.readers.readers.keys())
        notice = OriginNotice([], passed_on=True)
        replies = await asyncio.gather(
            *(
                self.readers.request(zone, notice, ANNOUNCEMENT_TIMEOUT_S)
                for zone in zones
            ),
            return_exceptions=True,
        )
        self.unannounced.difference_update(
            zone
            for zone, reply in zip(zones, replies, strict=True)
            if isinstance(reply, OriginAnswer)
        )
