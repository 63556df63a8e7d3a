"""Reads load reports and cache events of one owned backend server."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from pydantic import ValidationError

from celerywharf.adapters.loads import CacheEventsModel, LoadClient
from celerywharf.admissions.prefixes import CacheEvent, PrefixIndex
from celerywharf.admissions.tickets import LoadReport
from celerywharf.exceptions import CelerywharfError
from celerywharf.tables import BackendServer, ServiceKind
from celerywharf.usage import IdleTime

if TYPE_CHECKING:
    from celerywharf.admissions._owners import Owners

logger = logging.getLogger(__name__)

POLL_S = 0.5
POLL_JITTER = 0.2
# Silence of a server or a pause of this host is no idle time.
LONGEST_IDLE_S = 2.0
STORED = 'stored'


class Poll:
    """The polls of one backend server; plain services report nothing."""

    def __init__(self, owners: Owners, backend: BackendServer) -> None:
        self.owners = owners
        self.host = owners.host
        self.backend = backend
        self.client = LoadClient(owners.host.transport)
        self.prefixes = PrefixIndex()
        self.next_event = 0
        self.said_leaving = False
        self.read_s: float | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._once()
            jitter = 1 + self.owners.rng.uniform(-POLL_JITTER, POLL_JITTER)
            await asyncio.sleep(POLL_S * jitter)

    async def _once(self) -> None:
        try:
            await self._read_load()
        except (CelerywharfError, ValidationError) as error:
            logger.debug('no load report: %s', error)
            return
        try:
            await self._read_events()
        except (CelerywharfError, ValidationError) as error:
            logger.debug('no cache events: %s', error)

    async def _read_load(self) -> None:
        report = await self.client.load(self.backend.url)
        self.owners.decide(
            self.backend.name,
            LoadReport(
                capacity=report.capacity,
                running=report.running,
                age_s=report.report_age_s,
                by_account=report.by_account(),
            ),
        )
        self._charge_idle(report.capacity - report.running)
        self._note_leaving(leaving=report.leaving)

    def _charge_idle(self, free_slots: int) -> None:
        now = self.host.timers.now()
        last_s = self.read_s
        self.read_s = now
        if last_s is not None and free_slots > 0:
            idle_s = free_slots * min(now - last_s, LONGEST_IDLE_S)
            self.host.usage.post(IdleTime(self.backend.name, idle_s))

    def _note_leaving(self, *, leaving: bool) -> None:
        notices = self.host.membership.notices
        if leaving:
            notices.refresh(self.backend.name)
        elif self.said_leaving:
            notices.report(self.backend.name, leaving=False)
        self.said_leaving = leaving

    async def _read_events(self) -> None:
        answer = await self.client.cache_events(
            self.backend.url,
            self.next_event,
        )
        if answer.incarnation != self.prefixes.incarnation:
            # A restarted engine counts its events anew.
            answer = await self.client.cache_events(self.backend.url, 0)
        self.next_event = answer.next
        self.prefixes.learn(answer.incarnation, _events(answer))


def _events(answer: CacheEventsModel) -> list[CacheEvent]:
    return [
        CacheEvent(event.number, event.kind == STORED, event.prefix)
        for event in answer.events
    ]


def is_polled(owners: Owners, backend: BackendServer) -> bool:
    """Tell whether a backend server reports its load."""
    service = owners.host.catalogue.services.get(backend.service)
    return service is None or service.kind is ServiceKind.generation
