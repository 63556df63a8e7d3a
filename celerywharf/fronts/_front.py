"""The parts of a front process."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from random import Random

from tornado.httpserver import HTTPServer

from celerywharf.adapters import CurlTransport
from celerywharf.forwarding import Forwarder
from celerywharf.fronts._admission import AdmissionController
from celerywharf.fronts._context import build_context
from celerywharf.fronts._gateway import Gateway
from celerywharf.fronts._graceful_stop import GracefulStop
from celerywharf.fronts._relay_gateway import RelayGateway
from celerywharf.fronts._reload import Reload, SettingsWatcher
from celerywharf.fronts._retries import apply_retry_ratio
from celerywharf.fronts._sharing import (
    build_origin_exchange,
    build_relay_gateway,
    build_rollout_exchange,
    build_shared_store,
    build_zone_readers,
)
from celerywharf.fronts._status import Conditions, build_status_server
from celerywharf.fronts._watchers import build_watchers
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.routing import ConfigurationCache
from celerywharf.settings import FrontSettings
from celerywharf.sharing import (
    ClockKeeper,
    LimitExchange,
    QuarantineExchange,
    TrialSchedule,
)
from celerywharf.sockets import bind
from celerywharf.tasks import Part
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# Longer than callers may keep idle connections.
IDLE_CONNECTION_TIMEOUT_S = 20.0
BODY_TIMEOUT_S = 30.0  # longest time that a caller may take to send a body
MAX_HEADER_BYTES = 65536  # above any limit that can be configured


class Front:
    """Builds, starts and stops the parts of a front.

    Attributes:
        settings: the settings at the start; a reload changes only what
            ``apply`` sets.
        configuration_cache: the configuration and its age.
        context: the components that forwarding depends on.
        gateway: serves the connections of callers.
        shared_store: tables shared with the zone's other fronts; None if no
            address for other fronts is set.
        relay_gateway: serves requests that other fronts pass on; None if no
            address for that is set.
        sharing_parts: share the store with other fronts; without
            ``shared_store``, what reads its clock.
        quarantine_exchange: shares what requests crash engines with the other
            fronts.
        watchers: follow the tables of the store; first the watcher of the
            configuration, then that of the backend servers; the others
            watch lost paths to services and lost servers.
        graceful_stop: completes requests before the front stops.
        stopped: set when the process may exit.
    """

    def __init__(self, settings: FrontSettings, path: Path) -> None:
        self.settings = settings
        random = Random()
        self.timers = TimerService()
        self.transport = CurlTransport()
        self.store = StoreClient(self.transport, settings.store.address)
        self.configuration_cache = ConfigurationCache(
            settings.bounds.revoke_ms / MILLISECONDS
        )
        self.context = build_context(
            settings,
            self.transport,
            self.timers,
            self.configuration_cache,
            random,
        )
        self.gateway = Gateway(
            AdmissionController(self.configuration_cache, boot_time_s),
            Forwarder(self.context),
        )
        self.shared_store = build_shared_store(
            settings, self.store, self.context, self.timers, random
        )
        self.relay_gateway: RelayGateway | None = None
        self.sharing_parts: tuple[Part, ...] = (
            ClockKeeper(
                self.store,
                self.configuration_cache,
                settings.front.availability_zone,
                random,
            ),
        )
        if self.shared_store is not None:
            zone_readers = build_zone_readers(
                settings, self.store, self.shared_store
            )
            self.context.limits.lender = LimitExchange(
                self.context.limits.stated, self.shared_store, zone_readers
            )
            self.relay_gateway = build_relay_gateway(
                settings,
                self.gateway,
                self.shared_store,
                zone_readers,
                random,
            )
            self.context.rollouts.source = build_rollout_exchange(
                settings,
                self.context,
                self.shared_store,
                zone_readers,
                random,
            )
            self.context.origins.source = build_origin_exchange(
                settings, self.context, self.shared_store, zone_readers
            )
            self.sharing_parts = (
                self.shared_store,
                zone_readers,
                self.context.origins.source,
                self.context.rollouts.source,
            )
        self.quarantine_exchange = QuarantineExchange(
            self.context.quarantine.register,
            self.store,
            self.shared_store,
            random,
        )
        self.context.quarantine.is_trial_host = TrialSchedule(
            settings.front.availability_zone,
            settings.zones.regions,
            self.shared_store,
        ).is_own
        source = self.shared_store or self.store
        self.watchers = build_watchers(source, random, self.context)
        self.settings_watcher = SettingsWatcher(path, self.timers, self.apply)
        self.graceful_stop = GracefulStop(self.gateway, settings.bounds.grace_s)
        self.graceful_stop.relay_gateway = self.relay_gateway
        self.servers: list[HTTPServer] = []
        self.stopped = asyncio.Event()

    async def start(self) -> None:
        """Open the listening sockets and start all parts.

        Raises:
            SettingsError: an address cannot be listened on.
        """
        self._listen()
        for part in self._parts():
            part.start()
        logger.info('started', extra={'listen': self.settings.front.listen})

    async def drain(self) -> None:
        """Complete requests within the grace time, then stop."""
        self.context.waiting.stop()
        await self.graceful_stop.run()
        await self.stop()

    async def stop(self) -> None:
        """Stop immediately, answering requests in progress with an error."""
        self.gateway.fail_open_requests()
        for server in self.servers:
            server.stop()
        for part in reversed(self._parts()):
            await part.stop()
        self.transport.close()
        logger.info('stopped', extra={'cut_off': self.gateway.count_active()})
        self.stopped.set()

    def reload(self) -> None:
        """Read the settings file again."""
        self.settings_watcher.post(Reload())

    def apply(self, settings: FrontSettings) -> None:
        """Apply new bounds and log level; all else needs a restart."""
        bounds = settings.bounds
        self.configuration_cache.lease_s = bounds.revoke_ms / MILLISECONDS
        self.graceful_stop.grace_s = bounds.grace_s
        apply_retry_ratio(self.context.retries, bounds.retry_ratio)
        logging.getLogger().setLevel(settings.log.level.upper())

    def _conditions(self) -> Conditions:
        """Return what must hold for the front to get new connections."""
        admission = self.gateway.admission
        context = self.context
        return Conditions(
            at_start={
                'servers read': lambda: self.watchers[1].has_read,
                'quarantine read': lambda: self.quarantine_exchange.has_begun,
                'stream origins read': context.origins.has_begun,
                'rollouts read': context.rollouts.has_begun,
            },
            always={
                'not stopping': lambda: not admission.draining,
                'configuration current': lambda: (
                    self.configuration_cache.accepts_keys(boot_time_s())
                ),
            },
        )

    def _parts(self) -> tuple[Part, ...]:
        return (
            *self.sharing_parts,
            *self.watchers,
            self.quarantine_exchange,
            self.settings_watcher,
        )

    def _build_server(self, gateway: Gateway) -> HTTPServer:
        return HTTPServer(
            gateway,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )

    def _listen(self) -> None:
        front = self.settings.front
        callers = self._build_server(self.gateway)
        callers.add_sockets(bind('[front] listen', front.listen))
        status = build_status_server(self._conditions(), self.context.metrics)
        status.add_sockets(bind('[front] health', front.health))
        if front.metrics is not None:
            status.add_sockets(bind('[front] metrics', front.metrics))
        self.servers = [callers, status]
        if self.shared_store is not None:
            self.shared_store.server.add_sockets(
                bind('[front] peers', front.peers),
            )
        if self.relay_gateway is not None:
            relays = self._build_server(self.relay_gateway)
            relays.add_sockets(bind('[front] relay', front.relay))
            self.servers.append(relays)
