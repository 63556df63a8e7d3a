"""Builds the components that forwarding depends on."""

from __future__ import annotations

import functools
from random import Random

from celerywharf.adapters.transports import Transport
from celerywharf.backends import (
    Directory,
    Loads,
    Placement,
    ServerHealth,
    WindowChange,
)
from celerywharf.forwarding import ForwardingContext, Leases, Reports
from celerywharf.fronts._retries import UNSHARED_HOSTS, build_retry_limiter
from celerywharf.limits import (
    Clocks,
    FixedShare,
    ServerLimiter,
    StatedLimits,
)
from celerywharf.metrics import Metrics
from celerywharf.origins import StreamOrigins
from celerywharf.peers import PeerPaths
from celerywharf.platform import boot_time_s
from celerywharf.quarantine import LossRegister, QuarantineGate
from celerywharf.retries import HostShare
from celerywharf.rollouts import RolloutRegister
from celerywharf.routing import ConfigurationCache
from celerywharf.settings import FrontSettings
from celerywharf.timers import TimerService
from celerywharf.waiting import WaitingRequests


def build_context(
    settings: FrontSettings,
    transport: Transport,
    timers: TimerService,
    configuration_cache: ConfigurationCache,
    random: Random,
) -> ForwardingContext:
    """Return the components of a front, with an empty directory."""
    directory = Directory()
    loads = Loads()
    health = ServerHealth(
        directory,
        loads,
        random,
        has_recovery_windows=settings.backends.recovery_windows,
    )
    metrics = Metrics()
    retries = build_retry_limiter(settings, boot_time_s, random)
    health.windows.hosts = functools.partial(_hosts, retries.share)
    health.windows.grants_leases = functools.partial(
        _grants_leases, configuration_cache
    )
    health.windows.subscribers.append(functools.partial(_count_change, metrics))
    store_time_s = functools.partial(_store_time_s, configuration_cache)
    limits = ServerLimiter(
        StatedLimits(),
        FixedShare(1 / UNSHARED_HOSTS),
        Clocks(timers.now, store_time_s),
    )
    reports = Reports(transport, timers, loads, health, limits)
    return ForwardingContext(
        transport=transport,
        timers=timers,
        configuration_cache=configuration_cache,
        loads=loads,
        health=health,
        placement=Placement(
            directory,
            loads,
            health,
            settings.front.availability_zone,
            settings.zones.regions,
            random,
        ),
        reports=reports,
        retries=retries,
        quarantine=QuarantineGate(LossRegister(random), store_time_s),
        limits=limits,
        origins=StreamOrigins(directory.software_versions, timers.now),
        peers=PeerPaths(settings.front.availability_zone, timers.now, random),
        waiting=WaitingRequests(timers, metrics, random),
        metrics=metrics,
        random=random,
        rollouts=RolloutRegister(
            directory,
            boot_time_s,
            store_time_s,
            random,
            is_enabled=_allows_rollouts(settings),
            sends_now=timers.now,
        ),
        leases=Leases(
            transport, timers, loads, health, limits, reports, metrics
        ),
    )


def _hosts(share: HostShare | None) -> int:
    """Return the number of hosts that send to the same servers."""
    if share is None:
        return UNSHARED_HOSTS
    return share.zones * max(share.zone_hosts, 1)


def _grants_leases(
    configuration_cache: ConfigurationCache, service: str
) -> bool:
    """Return whether engines of a service grant leases of room.

    Not as long as this host has no configuration.
    """
    configuration = configuration_cache.configuration
    if configuration is None or service not in configuration.services:
        return False
    memory = configuration.services[service].memory
    return memory is not None and memory.lease_s > 0


def _count_change(metrics: Metrics, change: WindowChange) -> None:
    metrics.count(
        'server_windows',
        service=change.server.service,
        event=change.event,
        reason=change.reason.name,
    )


def _allows_rollouts(settings: FrontSettings) -> bool:
    """Return whether hosts share counts, and the users allow roll-outs."""
    is_shared = settings.front.peers is not None
    return is_shared and settings.bounds.exposure_share is not None


def _store_time_s(configuration_cache: ConfigurationCache) -> float:
    return configuration_cache.store_time_s(boot_time_s())
