"""The entry host process."""

from __future__ import annotations

import asyncio
import logging
import time

from celerywharf.adapters import CurlTransport, Platform
from celerywharf.admissions import Admissions
from celerywharf.applications import Applications
from celerywharf.edge import build_server
from celerywharf.generations import Generations
from celerywharf.hosts._announcer import Announce, Announcer
from celerywharf.hosts._routes import ROUTES
from celerywharf.membership import Membership
from celerywharf.metrics import Metrics
from celerywharf.orders import Orders
from celerywharf.settings import HostSettings
from celerywharf.sockets import bind
from celerywharf.structures import HostIdentity
from celerywharf.tables import Catalogue, TableService
from celerywharf.timeline import HybridClock, Recorder
from celerywharf.timeline.queries import TimelineService
from celerywharf.timeline.shipping import Shipper
from celerywharf.timers import TimerService
from celerywharf.usage.batches import UsageKeeper
from celerywharf.wire import LinkService, default_codec

logger = logging.getLogger(__name__)

NANOSECONDS_PER_MICROSECOND = 1000


class Host:  # noqa: WPS230
    """Builds, starts and stops the parts of an entry host.

    Attributes:
        settings: settings from the settings file.
        identity: name, region, zone, inner address and incarnation.
        timers: timer service used by all parts.
        recorder: records the events of this process for the time line.
        metrics: histograms and counters of this process.
        links: connections to other hosts.
        transport: HTTP client for backend servers and the platform.
        announcer: keeps the host in the platform's list of hosts.
        platform: table service, object store and host list.
        tables: replica of the shared table.
        membership: liveness of the other hosts.
        admissions: grants to use backend servers.
        applications: calls to applications.
        timelines: serves queries for events.
        shipper: stores events in the object store.
        usage: resources used by client accounts.
        parts: all parts with a task, in starting order.
        generations: generations owned, followed and replicated here.
        orders: brings engines into the state set in the table.
        leaving: True once a graceful stop has begun.
        stopped: set when the host has stopped.
    """

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.identity = HostIdentity(
            name=settings.host.name,
            region=settings.host.region,
            availability_zone=settings.host.availability_zone,
            inner=settings.host.inner,
            incarnation=time.time_ns() // NANOSECONDS_PER_MICROSECOND,
        )
        self.timers = TimerService()
        self.recorder = Recorder(
            settings.host.name,
            HybridClock(self.timers.wall),
            self.identity.incarnation,
        )
        self.metrics = Metrics()
        self.leaving = False
        self.stopped = asyncio.Event()
        self.transport = CurlTransport()
        self.platform = Platform(
            self.transport,
            settings.platform.url,
            settings.platform.timeout_s,
        )
        self.links = LinkService(
            self.identity,
            settings.keys.inner.get_secret_value().encode(),
            default_codec(),
            self.recorder.clock,
            settings.host.inner_bind.ip,
        )
        self.announcer = Announcer(self)
        self.tables = TableService(self)
        self.membership = Membership(self)
        self.admissions = Admissions(self)
        self.applications = Applications(self)
        self.timelines = TimelineService(self)
        self.shipper = Shipper(self)
        self.usage = UsageKeeper(self)
        self.generations = Generations(self)
        self.orders = Orders(self)
        self.parts = (
            self.announcer,
            self.membership,
            self.admissions,
            self.shipper,
            self.usage,
            self.applications,
            self.tables,
            self.generations,
            self.orders,
        )
        self.server = build_server(self, self.routes())

    @property
    def catalogue(self) -> Catalogue:
        """Return the rows in force at this host."""
        return self.tables.catalogue

    def not_serving_reason(self) -> str:
        """Return why this host accepts no new work, empty if it does."""
        if self.leaving:
            return 'leaving'
        return '' if self.tables.ready else 'the table has not been read yet'

    def routes(self) -> list:
        """Return the HTTP routes of all parts."""
        return list(ROUTES)

    async def start(self) -> None:
        """Listen on both ports and start the parts.

        Raises:
            SettingsError: the host cannot listen on an address.
        """
        inner = self.settings.host.inner_bind
        self.links.add_sockets(bind('[host] inner', inner))
        self.server.add_sockets(
            bind('[host] listen', self.settings.host.listen)
        )
        for part in self.parts:
            part.start()
        logger.info('host started', extra={'inner': str(inner)})

    async def drain(self) -> None:
        """Accept no new work, finish running requests, then stop."""
        if self.leaving:
            return
        self.leaving = True
        self.recorder.record('host_leaving')
        self.announcer.post(Announce())
        self.membership.leave()
        await asyncio.gather(
            self.applications.drain(),
            self.generations.drain(),
        )
        await self.stop()

    async def stop(self) -> None:
        """Stop at once and close all connections."""
        self.server.stop()
        await self.server.close_all_connections()
        for part in reversed(self.parts):
            await part.stop()
        await self.links.close()
        self.transport.close()
        self.stopped.set()
