"""Builds the components that forwarding depends on."""

from __future__ import annotations

import functools
from random import Random

from celerywharf.adapters.transports import Transport
from celerywharf.backends import Directory, Loads, Placement, ServerHealth
from celerywharf.forwarding import ForwardingContext, Reports
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
from celerywharf.rollouts import RolloutRegister
from celerywharf.routing import ConfigurationCache
from celerywharf.settings import FrontSettings
from celerywharf.timers import TimerService


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
    health = ServerHealth(directory, loads)
    store_time_s = functools.partial(_store_time_s, configuration_cache)
    limits = ServerLimiter(
        StatedLimits(),
        FixedShare(1 / UNSHARED_HOSTS),
        Clocks(timers.now, store_time_s),
    )
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
        reports=Reports(transport, timers, loads, health, limits),
        retries=build_retry_limiter(settings, timers.now, random),
        quarantine=QuarantineGate(LossRegister(random), store_time_s),
        limits=limits,
        origins=StreamOrigins(directory.software_versions, timers.now),
        peers=PeerPaths(settings.front.availability_zone, timers.now, random),
        metrics=Metrics(),
        random=random,
        rollouts=RolloutRegister(
            directory,
            timers.now,
            store_time_s,
            random,
            is_enabled=_allows_rollouts(settings),
        ),
    )


def _allows_rollouts(settings: FrontSettings) -> bool:
    """Return whether hosts share counts, and the users allow roll-outs."""
    is_shared = settings.front.peers is not None
    return is_shared and settings.bounds.exposure_share is not None


def _store_time_s(configuration_cache: ConfigurationCache) -> float:
    return configuration_cache.store_time_s(boot_time_s())
