"""One front process."""

from __future__ import annotations

import asyncio
import logging
import secrets
from pathlib import Path
from random import Random

from tornado.httpserver import HTTPServer

from celerywharf.adapters import CurlTransport
from celerywharf.backends import Directory, Loads, Placement, ServerHealth
from celerywharf.forwarding import (
    Forwarder,
    ForwardingContext,
    Reports,
    RetryBudget,
)
from celerywharf.fronts._admittance import Admittance
from celerywharf.fronts._edge import Edge
from celerywharf.fronts._leaving import Leaving
from celerywharf.fronts._reload import Reload, SettingsWatcher
from celerywharf.fronts._status import StatusPage, build_status_server
from celerywharf.fronts._watchers import ConfigurationWatcher, ServerWatcher
from celerywharf.metrics import Metrics
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.routing import ConfigurationCache
from celerywharf.settings import FrontSettings
from celerywharf.sharing import Reader, ReaderChoice, SharedStore
from celerywharf.sockets import bind
from celerywharf.structures import HostIdentity
from celerywharf.tasks import Part
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# Hosts do not know how many they are; this many fixed parts stay inside the
# slack that all hosts share.
HOSTS_SHARING_SLACK = 15
RATIO_SHARE = 0.9  # keeps the sum over all hosts below the ratio
IDLE_TIMEOUT_S = 20.0  # beyond the idle time that callers may use
BODY_TIMEOUT_S = 30.0  # longest time for which a caller may send a body
PEER_KEY_BYTES = 16  # as much as the nonces of the handshake
HEADER_BYTES = 65536  # beyond any configured limit of callers


class Front:
    """Builds, starts and stops the parts of a front.

    Attributes:
        settings: what the settings file said.
        configuration_cache: the configuration and its age.
        directory: the backend servers.
        edge: connections of callers.
        leaving: the graceful stop.
        stopped: set when the process may end.
    """

    def __init__(self, settings: FrontSettings, path: Path) -> None:
        self.settings = settings
        self.random = Random()
        self.timers = TimerService()
        self.metrics = Metrics()
        self.transport = CurlTransport()
        self.store = StoreClient(self.transport, settings.store.address)
        self.configuration_cache = ConfigurationCache(
            settings.bounds.revoke_ms / MILLISECONDS
        )
        self.directory = Directory()
        self.context = self._context()
        self.edge = Edge(
            Admittance(self.configuration_cache, boot_time_s),
            Forwarder(self.context),
        )
        self.shared = self._shared_store()
        source = self.shared or self.store
        self.watchers = (
            ConfigurationWatcher(source, self.random, self.configuration_cache),
            ServerWatcher(
                source,
                self.random,
                self.context.health,
                self.timers,
            ),
        )
        self.settings_watcher = SettingsWatcher(path, self.timers, self.apply)
        self.leaving = Leaving(
            self.edge,
            self.timers,
            settings.bounds.grace_s,
        )
        self.servers: list[HTTPServer] = []
        self.stopped = asyncio.Event()

    async def start(self) -> None:
        """Listen and follow the store."""
        self._listen()
        for part in self._parts():
            part.start()
        logger.info('started', extra={'listen': self.settings.front.listen})

    async def drain(self) -> None:
        """Leave without cutting off requests, then stop."""
        await self.leaving.run()
        await self.stop()

    async def stop(self) -> None:
        """Stop at once."""
        for server in self.servers:
            server.stop()
        for part in reversed(self._parts()):
            await part.stop()
        self.transport.close()
        logger.info('stopped', extra={'cut_off': self.edge.busy()})
        self.stopped.set()

    def reload(self) -> None:
        """Read the settings file again."""
        self.settings_watcher.post(Reload())

    def apply(self, settings: FrontSettings) -> None:
        """Take bounds and log level over; addresses need a restart."""
        bounds = settings.bounds
        self.configuration_cache.lease_s = bounds.revoke_ms / MILLISECONDS
        self.leaving.grace_s = bounds.grace_s
        self.context.budget.ratio = bounds.retry_ratio * RATIO_SHARE
        logging.getLogger().setLevel(settings.log.level.upper())

    def ready(self) -> bool:
        """Tell whether this front should get new connections."""
        return (
            not self.edge.admittance.leaving
            and self.watchers[1].version is not None
            and self.configuration_cache.accepts_keys(boot_time_s())
        )

    def _parts(self) -> tuple[Part, ...]:
        parts = (*self.watchers, self.settings_watcher)
        return parts if self.shared is None else (self.shared, *parts)

    def _shared_store(self) -> SharedStore | None:
        front = self.settings.front
        if front.peers is None:
            return None
        me = Reader(front.peers, secrets.token_bytes(PEER_KEY_BYTES), 0)
        regions = self.settings.zones.regions
        return SharedStore(
            self.store,
            ReaderChoice(me, self.random),
            HostIdentity(
                front.name,
                regions.get(front.availability_zone, ''),
                front.availability_zone,
                front.peers,
                int(self.timers.wall() * MILLISECONDS),
            ),
            self.configuration_cache.synchronize,
            self.metrics,
        )

    def _listen(self) -> None:
        front = self.settings.front
        callers = HTTPServer(
            self.edge,
            max_header_size=HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        callers.add_sockets(bind('[front] listen', front.listen))
        status = build_status_server(StatusPage(self.ready, self.metrics))
        status.add_sockets(bind('[front] health', front.health))
        if front.metrics is not None:
            status.add_sockets(bind('[front] metrics', front.metrics))
        self.servers = [callers, status]
        if self.shared is not None:
            self.shared.server.add_sockets(bind('[front] peers', front.peers))

    def _context(self) -> ForwardingContext:
        bounds = self.settings.bounds
        loads = Loads()
        health = ServerHealth(self.directory, loads)
        return ForwardingContext(
            transport=self.transport,
            timers=self.timers,
            configuration_cache=self.configuration_cache,
            loads=loads,
            health=health,
            placement=Placement(
                self.directory,
                loads,
                health,
                self.settings.front.availability_zone,
                self.settings.zones.regions,
                self.random,
            ),
            reports=Reports(
                self.transport,
                self.timers,
                loads,
                health,
            ),
            budget=RetryBudget(
                bounds.retry_ratio * RATIO_SHARE,
                int(bounds.retry_slack / HOSTS_SHARING_SLACK),
                bounds.retry_window_s,
            ),
            metrics=self.metrics,
            random=self.random,
        )
