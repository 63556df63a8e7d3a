"""Tells other fronts which software version began each stream."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from celerywharf.exceptions import CelerywharfError
from celerywharf.origins import MAX_ORIGINS, StreamOrigin, StreamOrigins
from celerywharf.platform import SERVER_TABLE, boot_time_s
from celerywharf.sharing._origin_messages import from_entry, to_entry
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.sharing._reader_discovery import ReaderDiscovery
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.origins import OriginAnswer, OriginNotice

logger = logging.getLogger(__name__)

NOTICE_TIMEOUT_S = 0.5
# How soon streams are told that began before there was a reason to.
CHECK_PERIOD_S = 0.5
NOTICE_PERIOD_S = 0.05
RETRY_PERIOD_S = 0.3
# Streams that begin within this time share a row of the store.
RECORD_PERIOD_S = 0.2
RECORD_RETRY_S = 1.0
MAX_NOTICE = 500


class OriginNotices(Part):
    """Tells the readers of all zones where streams began.

    A front tells the reader of its zone, which tells the readers of the other
    zones; so the knowledge outlives the front, and the reader with it.  Nothing
    is told of a service that has one software version, as long as the store
    confirms that.

    Attributes:
        origins: what this front knows.
        shared_store: tells who the reader of the zone is.
        readers: links to the readers of other zones.
        other_zones: names of the other availability zones.
        discovery: keeps the readers of other zones known.
        records: what the reader of the zone records in the store.
        untold: streams that were not passed on yet, by request id.
        recorded: ids of those among them that were passed to ``records``.
        changed: set when there is one more.
        unrecorded: set when the rows may have to be brought up to date.
        recording: brings the rows up to date; None before the first time.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        shared_store: SharedStore,
        readers: ZoneReaders,
        other_zones: Sequence[str],
        records: OriginRecords,
    ) -> None:
        super().__init__()
        self.origins = origins
        self.shared_store = shared_store
        self.readers = readers
        self.other_zones = other_zones
        self.discovery = ReaderDiscovery(shared_store, readers, other_zones)
        self.records = records
        self.untold: OrderedDict[str, StreamOrigin] = OrderedDict()
        self.recorded: set[str] = set()
        self.changed = asyncio.Event()
        self.unrecorded = asyncio.Event()
        self.recording: asyncio.Task | None = None
        origins.register.subscribers.append(self._pass_on_later)
        origins.software_versions.subscribers.extend(
            (self.changed.set, self.unrecorded.set)
        )
        shared_store.era.subscribers.extend(
            (records.store_restored, self.changed.set, self.unrecorded.set)
        )
        shared_store.server.subscribe(OriginNotice, self._on_notice)

    def start(self) -> None:
        """Start to pass streams on."""
        super().start()
        self.spawn(self._pass_on_repeatedly())
        self.spawn(self._record_repeatedly())
        self.discovery.start()

    async def stop(self) -> None:
        """Stop the tasks."""
        await self.discovery.stop()
        await super().stop()

    def _record(self) -> None:
        """Bring the rows up to date, unless that is being done."""
        if not self.shared_store.is_reader:
            self.records.rows.forget()
            return
        is_recording = self.recording and not self.recording.done()
        if self.records.is_due() and not is_recording:
            self.recording = self.spawn(self._record_once())

    async def _record_once(self) -> None:
        answered = await self.records.update()
        await asyncio.sleep(RECORD_PERIOD_S if answered else RECORD_RETRY_S)

    async def _on_notice(self, _: Sender, notice: OriginNotice) -> OriginAnswer:
        for entry in notice.origins:
            origin = from_entry(entry, self.origins.now())
            if origin is None:
                continue
            now_s = self.origins.now()
            known = self.origins.register.find(origin.request_id, now_s)
            self.origins.register.learn(origin, now_s)
            # A front that is the reader no longer tells the new one; known
            # streams are not passed back and forth.
            if not notice.passed_on and (
                self.shared_store.is_reader or known is None
            ):
                self._pass_on_later(origin)
        if not notice.origins and notice.passed_on:
            self.discovery.look_up_soon()
        return OriginAnswer([])

    def _pass_on_later(self, origin: StreamOrigin) -> None:
        self.untold[origin.request_id] = origin
        if len(self.untold) > MAX_ORIGINS:
            self._forget((next(iter(self.untold)),))
        self.changed.set()

    async def _record_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self.unrecorded.wait()
            self.unrecorded.clear()
            self._record()
            await asyncio.sleep(NOTICE_PERIOD_S)

    async def _pass_on_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self.changed.wait()
            self.changed.clear()
            due = self._due()
            if due and not await self._pass_on(due):
                await asyncio.sleep(RETRY_PERIOD_S)
            await asyncio.sleep(NOTICE_PERIOD_S)

    def _due(self) -> list[StreamOrigin]:
        """Return streams to be told; drop those that have expired."""
        now_s = self.origins.now()
        expired = [
            request_id
            for request_id, origin in self.untold.items()
            if origin.expires_s < now_s
        ]
        self._forget(expired)
        services = {origin.service for origin in self.untold.values()}
        tells_all = self._may_lack_versions()
        mixed = {
            service
            for service in services
            if tells_all or self.records.is_mixed(service)
        }
        due = (
            origin for origin in self.untold.values() if origin.service in mixed
        )
        return list(itertools.islice(due, MAX_NOTICE))

    def _may_lack_versions(self) -> bool:
        """Return whether there may be versions that this front does not see."""
        shared = self.shared_store
        if shared.is_reader and not shared.calls.reachable:
            return True
        if shared.tables[SERVER_TABLE].left_s(boot_time_s()) <= 0:
            return True
        # The reader knows which versions had gone before this front started.
        return self.origins.is_young() and not shared.is_reader

    async def _pass_on(self, due: list[StreamOrigin]) -> bool:
        """Tell where streams began; return whether somebody knows it now."""
        now_s = self.origins.now()
        entries = [to_entry(origin, now_s) for origin in due]
        if self.shared_store.is_reader:
            self._record_new(due)
            told = await self._tell_zones(OriginNotice(entries, passed_on=True))
        else:
            told = await self._tell_reader(
                OriginNotice(entries, passed_on=False)
            ) or await self._tell_zones(OriginNotice(entries, passed_on=True))
        if told:
            self._forget(origin.request_id for origin in due)
        if told and len(due) == MAX_NOTICE:
            self.changed.set()
        return told

    def _record_new(self, due: Iterable[StreamOrigin]) -> None:
        """Record streams in the store, once however often they are told."""
        new = [each for each in due if each.request_id not in self.recorded]
        self.recorded.update(each.request_id for each in new)
        self.records.add(new)
        self.unrecorded.set()

    def _forget(self, request_ids: Iterable[str]) -> None:
        for request_id in request_ids:
            self.untold.pop(request_id, None)
            self.recorded.discard(request_id)

    async def _tell_reader(self, notice: OriginNotice) -> bool:
        reader = self.shared_store.election.reader
        client = self.shared_store.client
        if reader is None or client is None:
            return False
        try:
            await client.request(reader.address, notice, NOTICE_TIMEOUT_S)
        except CelerywharfError as error:
            logger.info(
                'origins of streams not told', extra={'reason': error.message}
            )
            return False
        return True

    async def _tell_zones(self, notice: OriginNotice) -> bool:
        """Tell the readers of all other zones; return whether one answered."""
        if not self.other_zones:
            return True
        await self.readers.ensure_known()
        replies = await asyncio.gather(
            *(
                self.readers.request(zone, notice, NOTICE_TIMEOUT_S)
                for zone in self.other_zones
            ),
            return_exceptions=True,
        )
        return any(isinstance(reply, OriginAnswer) for reply in replies)
