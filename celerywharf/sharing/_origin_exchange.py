"""Finds out from other fronts which software version began a stream."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Iterable, Sequence
from dataclasses import replace

from celerywharf.exceptions import CelerywharfError
from celerywharf.origins import (
    Evidence,
    OriginKnowledge,
    OriginSource,
    StreamOrigins,
)
from celerywharf.platform import boot_time_s
from celerywharf.sharing._origin_messages import to_entry, to_knowledge
from celerywharf.sharing._origin_notices import OriginNotices
from celerywharf.sharing._origin_readings import QUESTION_TIMEOUT_S
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.origins import OriginAnswer, OriginQuestion

# The reader may have to wait for the store and for other zones.
READER_TIMEOUT_S = 0.75
ZONE_TIMEOUT_S = 0.15  # a round trip between regions takes 40 ms
CONFIRM_TIMEOUT_S = 0.1  # of a reader that another zone's reader waits for
LOOKUP_TIMEOUT_S = 0.4


class OriginExchange(Part, OriginSource):
    """Asks the readers of all zones where streams began, and answers them.

    Attributes:
        origins: what this front knows.
        shared_store: tells who the reader of the zone is.
        readers: links to the readers of other zones.
        other_zones: names of the other availability zones.
        records: what the reader of the zone records in the store.
        notices: tells others of the streams of this front.
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
        self.origins = origins
        self.shared_store = shared_store
        self.readers = readers
        self.other_zones = [zone for zone in zones if zone != readers.own_zone]
        self.records = records
        self.notices = OriginNotices(
            origins, shared_store, readers, self.other_zones, records
        )
        shared_store.server.subscribe(OriginQuestion, self._answer)

    def start(self) -> None:
        """Start to tell others where streams began."""
        super().start()
        self.notices.start()

    async def stop(self) -> None:
        """Stop the tasks."""
        await self.notices.stop()
        await super().stop()

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
                return self._learn(reply)
        return await self._find(request_id, service)

    async def _find(self, request_id: str, service: str) -> OriginKnowledge:
        """Look the stream up as the reader of a zone, or without one."""
        known = self.records.find(request_id)
        if known.origin is not None:
            return known
        asked_s = boot_time_s()
        _, replies = await asyncio.gather(
            self._confirm(asked_s), self._ask_zones(request_id, service)
        )
        known = self.records.find(request_id)
        if known.origin is not None:
            return known
        told = [self._learn(reply) for reply in replies]
        found = [each for each in told if each.origin]
        if found:
            return found[0]
        known = self._possible(service, replies, asked_s)
        # Readers of other zones may have seen what this host has missed.
        named = frozenset[str]().union(*(each.versions for each in told))
        if known.versions:
            unseen = named - self.records.recorded(service)
            return replace(known, versions=known.versions | unseen)
        if not named:
            return OriginKnowledge()
        return OriginKnowledge(
            versions=named, evidence=Evidence.other_hosts_versions
        )

    def _learn(self, reply: OriginAnswer) -> OriginKnowledge:
        now_s = self.origins.now()
        known = to_knowledge(reply, now_s)
        if known.origin is not None:
            self.origins.register.learn(known.origin, now_s)
        return known

    async def _confirm(
        self, asked_s: float, timeout_s: float = QUESTION_TIMEOUT_S
    ) -> None:
        if self.shared_store.is_reader:
            await self.records.readings.confirm(asked_s, timeout_s)

    def _possible(
        self, service: str, replies: list[OriginAnswer], asked_s: float
    ) -> OriginKnowledge:
        """Return the versions that may have begun a stream nobody knows.

        Only if no front was lost since a version was first seen, every stream
        that it began is known.
        """
        # A zone that never had a front has no reader in the store.
        zones = self.readers.readers.keys() & set(self.other_zones)
        is_intact = (
            (self.readers.is_read or not self.other_zones)
            and len(replies) == len(zones)
            and all(reply.intact for reply in replies)
            and self.shared_store.lending.is_intact()
        )
        alive = [reply.recorder for reply in replies] if is_intact else None
        return self.records.possible(service, alive, asked_s)

    async def _ask_zones(
        self, request_id: str, service: str
    ) -> list[OriginAnswer]:
        """Ask the readers of all other zones; those replaced once more."""
        question = OriginQuestion(request_id, True, service)
        await self._await_readers(self.readers.ensure_known())
        asked = {
            zone: self.readers.readers.get(zone) for zone in self.other_zones
        }
        replies = await self._request(question, asked)
        if len(replies) < len(asked.keys() & self.readers.readers.keys()):
            await self._await_readers(self.readers.refresh())
            replaced = [
                zone
                for zone, reader in asked.items()
                if self.readers.readers.get(zone) != reader
            ]
            replies.extend(await self._request(question, replaced))
        return replies

    async def _await_readers(self, lookup: Awaitable[None]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                await lookup

    async def _request(
        self, question: OriginQuestion, zones: Iterable[str]
    ) -> list[OriginAnswer]:
        replies = await asyncio.gather(
            *(
                self.readers.request(zone, question, ZONE_TIMEOUT_S)
                for zone in zones
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
            knowledge = await self._find_here(
                question.request_id, question.service
            )
        now_s = self.origins.now()
        entries = (
            [to_entry(knowledge.origin, now_s)] if knowledge.origin else []
        )
        return OriginAnswer(
            entries,
            sorted(knowledge.versions),
            self.records.name if is_reader else '',
            self.shared_store.lending.is_intact(),
        )

    async def _find_here(
        self, request_id: str, service: str
    ) -> OriginKnowledge:
        """Look the stream up for another zone's reader, asking no other."""
        known = self.records.find(request_id)
        if known.origin is not None:
            return known
        asked_s = boot_time_s()
        await self._confirm(asked_s, CONFIRM_TIMEOUT_S)
        known = self.records.find(request_id)
        if known.origin is not None:
            return known
        return self.records.possible(service, None, asked_s)
