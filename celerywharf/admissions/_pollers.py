"""Polls load reports and cache events of one owned backend server."""

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

POLL_INTERVAL_S = 0.5
POLL_JITTER_FRACTION = 0.2
# Caps the idle time charged for one interval: a silent backend server or a
# pause of this host must not count as idle time.
IDLE_CHARGE_LIMIT_S = 2.0
STORED_EVENT_KIND = 'stored'


class LoadPoller:
    """Polls one backend server of a generation service.

    Attributes:
        prefixes: prefixes that the backend server probably caches.
        next_event: number of the first cache event to request.
        reported_leaving: whether its last report said that it is leaving.
        last_read_s: time of the last load report; None before the first.
    """

    def __init__(self, owners: Owners, backend: BackendServer) -> None:
        self.owners = owners
        self.host = owners.host
        self.backend = backend
        self.client = LoadClient(owners.host.transport)
        self.prefixes = PrefixIndex()
        self.next_event = 0
        self.reported_leaving = False
        self.last_read_s: float | None = None

    async def run(self) -> None:
        """Poll until cancelled; failed polls are logged and repeated."""
        while True:
            await self._poll()
            jitter = 1 + self.owners.rng.uniform(
                -POLL_JITTER_FRACTION, POLL_JITTER_FRACTION
            )
            await asyncio.sleep(POLL_INTERVAL_S * jitter)

    async def _poll(self) -> None:
        try:
            await self._read_load()
        except (CelerywharfError, ValidationError) as error:
            logger.debug('failed to read load report: %s', error)
            return
        try:
            await self._read_events()
        except (CelerywharfError, ValidationError) as error:
            logger.debug('failed to read cache events: %s', error)

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
        self._report_leaving(leaving=report.leaving)

    def _charge_idle(self, free_slots: int) -> None:
        now = self.host.timers.now()
        last_s = self.last_read_s
        self.last_read_s = now
        if last_s is not None and free_slots > 0:
            idle_s = free_slots * min(now - last_s, IDLE_CHARGE_LIMIT_S)
            self.host.usage.post(IdleTime(self.backend.name, idle_s))

    def _report_leaving(self, *, leaving: bool) -> None:
        notices = self.host.membership.notices
        if leaving:
            notices.refresh(self.backend.name)
        elif self.reported_leaving:
            notices.report(self.backend.name, leaving=False)
        self.reported_leaving = leaving

    async def _read_events(self) -> None:
        answer = await self.client.cache_events(
            self.backend.url,
            self.next_event,
        )
        if answer.incarnation != self.prefixes.incarnation:
            # A restarted engine numbers its events from the start again.
            answer = await self.client.cache_events(self.backend.url, 0)
        self.next_event = answer.next
        self.prefixes.apply_events(answer.incarnation, _events(answer))


def _events(answer: CacheEventsModel) -> list[CacheEvent]:
    return [
        CacheEvent(event.number, event.kind == STORED_EVENT_KIND, event.prefix)
        for event in answer.events
    ]


def is_polled(owners: Owners, backend: BackendServer) -> bool:
    """Return whether a backend server reports its load.

    Those of generation services do; a backend server whose service is not
    known yet is assumed to.
    """
    service = owners.host.catalogue.services.get(backend.service)
    return service is None or service.kind is ServiceKind.generation
