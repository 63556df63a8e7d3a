"""Shares among fronts which software version began each stream."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
from collections import OrderedDict
from collections.abc import Sequence

from celerywharf.exceptions import CelerywharfError
from celerywharf.origins import (
    MAX_LIFETIME_S,
    MAX_ORIGINS,
    Evidence,
    OriginKnowledge,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
)
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.origins import (
    OriginAnswer,
    OriginEntry,
    OriginNotice,
    OriginQuestion,
)

logger = logging.getLogger(__name__)

READER_TIMEOUT_S = 0.3  # the reader may have to ask other zones
ZONE_TIMEOUT_S = 0.15  # a round trip between regions takes 40 ms
NOTICE_TIMEOUT_S = 0.5
# How soon streams are told that began before there was a second version.
CHECK_PERIOD_S = 0.5
NOTICE_PERIOD_S = 0.05
RETRY_PERIOD_S = 0.3
# Streams that begin within this time share a row of the store.
RECORD_PERIOD_S = 0.2
RECORD_RETRY_S = 1.0
MAX_NOTICE = 500
MAX_NAME = 100


class OriginExchange(Part, OriginSource):
    """Tells the readers of all zones where streams began, and asks them.

    A front tells the reader of its zone, which tells the readers of the other
    zones; so the knowledge outlives the front, and the reader with it.  While a
    service has one software version, nothing is told.

    Attributes:
        origins: what this front knows.
        shared_store: tells who the reader of the zone is.
        readers: links to the readers of other zones.
        other_zones: names of the other availability zones.
        records: what the reader of the zone records in the store.
        untold: streams that were not passed on yet, by request id.
        changed: set when there is one more.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        shared_store: SharedStore,
        readers: ZoneReaders,
        zones: Sequence[str],
        records: OriginRecords,
    ) -> None:
        super().__init__()
        self.records = records
        self.recording: asyncio.Task | None = None
        self.origins = origins
        self.shared_store = shared_store
        self.readers = readers
        self.other_zones = [zone for zone in zones if zone != readers.own_zone]
        self.untold: OrderedDict[str, StreamOrigin] = OrderedDict()
        self.changed = asyncio.Event()
        origins.register.subscribers.append(self._pass_on_later)
        origins.software_versions.subscribers.append(self.changed.set)
        shared_store.era.subscribers.extend(
            (records.store_restored, self.changed.set)
        )
        shared_store.server.subscribe(OriginNotice, self._on_notice)
        shared_store.server.subscribe(OriginQuestion, self._answer)

    def start(self) -> None:
        """Start to pass streams on."""
        super().start()
        self.spawn(self._pass_on_repeatedly())

    def has_begun(self) -> bool:
        """Return whether the rows have been read, if this front reads them."""
        return not self.shared_store.is_reader or self.records.attempted

    async def ask(self, request_id: str, service: str) -> OriginKnowledge:
        """Ask the reader of the zone, else the readers of the other zones."""
        shared = self.shared_store
        reader = shared.election.reader
        if not shared.is_reader and reader and shared.client:
            question = OriginQuestion(request_id, False, service)
            with contextlib.suppress(CelerywharfError):
                reply = await shared.client.request(
                    reader.address, question, READER_TIMEOUT_S
                )
                return self._to_knowledge(reply)
        return await self._find(request_id, service)

    async def _find(self, request_id: str, service: str) -> OriginKnowledge:
        """Look the stream up as the reader of a zone, or without one."""
        is_reader = self.shared_store.is_reader
        found = await self.records.find(request_id, service, in_rows=is_reader)
        if found.origin is not None:
            return found
        replies = await self._ask_zones(request_id, service)
        known = [self._to_knowledge(reply) for reply in replies]
        told = next((each for each in known if each.origin), None)
        if told is not None:
            return told
        named = frozenset[str]().union(*(each.versions for each in known))
        if not is_reader:
            return OriginKnowledge(
                versions=named, evidence=Evidence.other_hosts_versions
            )
        versions = self._possible(service, replies)
        if not self.records.is_current:
            # Readers of other zones may have seen what this host has missed.
            versions |= named
        return OriginKnowledge(
            versions=versions,
            evidence=Evidence.stored_versions,
            age_s=self.records.age_s(),
        )

    def _possible(
        self, service: str, replies: list[OriginAnswer]
    ) -> frozenset[str]:
        """Return the versions that may have begun a stream nobody knows.

        Only if no front was lost since a version was first seen, every stream
        that it began is known.
        """
        # A zone that never had a front has no reader in the store.
        zones = self.readers.readers.keys() & set(self.other_zones)
        is_intact = (
            len(replies) == len(zones)
            and all(reply.intact for reply in replies)
            and self.shared_store.lending.is_intact()
        )
        alive = [reply.recorder for reply in replies] if is_intact else None
        return self.records.possible(service, alive)

    async def _ask_zones(
        self, request_id: str, service: str
    ) -> list[OriginAnswer]:
        await self.readers.ensure_known()
        question = OriginQuestion(request_id, True, service)
        replies = await asyncio.gather(
            *(
                self.readers.request(zone, question, ZONE_TIMEOUT_S)
                for zone in self.other_zones
            ),
            return_exceptions=True,
        )
        return [reply for reply in replies if isinstance(reply, OriginAnswer)]

    async def _answer(
        self, _: Sender, question: OriginQuestion
    ) -> OriginAnswer:
        """Answer another front of the zone, or another zone's reader."""
        is_reader = self.shared_store.is_reader
        if is_reader and not question.passed_on:
            knowledge = await self._find(question.request_id, question.service)
        else:
            found = await self.records.find(
                question.request_id, question.service, in_rows=is_reader
            )
            knowledge = OriginKnowledge(
                found.origin,
                self.records.possible(question.service, None),
            )
        return OriginAnswer(
            [self._to_entry(knowledge.origin)] if knowledge.origin else [],
            sorted(knowledge.versions),
            self.records.name if is_reader else '',
            self.shared_store.lending.is_intact(),
        )

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
            origin = self._from_entry(entry)
            if origin is None:
                continue
            self.origins.register.learn(origin, self.origins.now())
            if self.shared_store.is_reader and not notice.passed_on:
                self._pass_on_later(origin)
        return OriginAnswer([])

    def _pass_on_later(self, origin: StreamOrigin) -> None:
        self.untold[origin.request_id] = origin
        if len(self.untold) > MAX_ORIGINS:
            self.untold.popitem(last=False)
        self.changed.set()

    async def _pass_on_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self.changed.wait()
            self.changed.clear()
            self._record()
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
        for request_id in expired:
            self.untold.pop(request_id)
        services = {origin.service for origin in self.untold.values()}
        # The reader knows which versions had gone before this front started.
        tells_all = self.origins.is_young() and not self.shared_store.is_reader
        mixed = {
            service
            for service in services
            if tells_all or self.records.is_mixed(service)
        }
        due = (
            origin for origin in self.untold.values() if origin.service in mixed
        )
        return list(itertools.islice(due, MAX_NOTICE))

    async def _pass_on(self, due: list[StreamOrigin]) -> bool:
        """Tell where streams began; return whether somebody knows it now."""
        entries = [self._to_entry(origin) for origin in due]
        if self.shared_store.is_reader:
            self.records.add(due)
            self._record()
            told = await self._tell_zones(OriginNotice(entries, passed_on=True))
        else:
            told = await self._tell_reader(
                OriginNotice(entries, passed_on=False)
            )
        if told:
            for origin in due:
                self.untold.pop(origin.request_id, None)
        if told and len(due) == MAX_NOTICE:
            self.changed.set()
        return told

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

    def _to_knowledge(self, reply: OriginAnswer) -> OriginKnowledge:
        versions = frozenset(
            version for version in reply.versions if len(version) <= MAX_NAME
        )
        for origin in filter(None, map(self._from_entry, reply.origins)):
            self.origins.register.learn(origin, self.origins.now())
            return OriginKnowledge(origin, versions, Evidence.other_host)
        return OriginKnowledge(None, versions, Evidence.other_hosts_versions)

    def _to_entry(self, origin: StreamOrigin) -> OriginEntry:
        return OriginEntry(
            origin.request_id,
            origin.service,
            origin.software_version,
            max(origin.expires_s - self.origins.now(), 0),
        )

    def _from_entry(self, entry: OriginEntry) -> StreamOrigin | None:
        """Convert a message; None if it exceeds a bound."""
        names = (entry.request_id, entry.service, entry.software_version)
        if not math.isfinite(entry.lifetime_s) or any(
            len(name) > MAX_NAME for name in names
        ):
            return None
        lifetime_s = min(entry.lifetime_s, MAX_LIFETIME_S)
        return StreamOrigin(*names, self.origins.now() + lifetime_s)
