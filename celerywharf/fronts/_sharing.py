"""Builds the access to the store that the fronts of a zone share."""

from __future__ import annotations

import functools
import secrets
from random import Random

from celerywharf.forwarding import ForwardingContext
from celerywharf.fronts._gateway import Gateway
from celerywharf.fronts._relay_gateway import RelayGateway
from celerywharf.peers import PeerHost, RelayAdmission
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.rollouts import RolloutBounds
from celerywharf.settings import FrontSettings
from celerywharf.sharing import (
    Lending,
    OriginExchange,
    OriginRecords,
    OriginRows,
    PeerExchange,
    Reader,
    ReaderElection,
    RolloutControl,
    RolloutExchange,
    SharedStore,
    StoredSteps,
    ZoneReaders,
)
from celerywharf.structures import HostIdentity
from celerywharf.timers import TimerService

MILLISECONDS = 1000
PEER_KEY_BYTES = 16  # same length as the nonces of the handshake


def build_shared_store(
    settings: FrontSettings,
    store: StoreClient,
    context: ForwardingContext,
    timers: TimerService,
    random: Random,
) -> SharedStore | None:
    """Return the shared store; None if no address for others is set."""
    front = settings.front
    lending = context.retries.lender
    if front.peers is None or not isinstance(lending, Lending):
        return None
    own_entry = Reader(front.peers, secrets.token_bytes(PEER_KEY_BYTES), 0)
    return SharedStore(
        store,
        ReaderElection(own_entry, random),
        HostIdentity(
            front.name,
            settings.zones.regions.get(front.availability_zone, ''),
            front.availability_zone,
            front.peers,
            int(timers.wall() * MILLISECONDS),
        ),
        context.configuration_cache,
        lending,
        context.limits.stated,
        context.metrics,
    )


def build_relay_gateway(
    settings: FrontSettings,
    gateway: Gateway,
    shared_store: SharedStore,
    readers: ZoneReaders,
    random: Random,
) -> RelayGateway | None:
    """Return what serves requests that other fronts pass on.

    None if no address for that is set.  Otherwise this front passes requests
    on, too.
    """
    if settings.front.relay is None:
        return None
    context = gateway.context
    relay_gateway = RelayGateway(
        gateway.admission,
        gateway.forwarder,
        RelayAdmission(context.timers.now),
        secrets.token_bytes(PEER_KEY_BYTES),
    )
    context.peers.source = PeerExchange(
        shared_store,
        readers,
        functools.partial(_announce, settings, relay_gateway),
        sorted(settings.zones.regions),
        random,
    )
    return relay_gateway


def _announce(
    settings: FrontSettings, gateway: RelayGateway
) -> PeerHost | None:
    if gateway.admission.draining:
        return None
    context = gateway.context
    front = settings.front
    return PeerHost(
        front.name,
        front.availability_zone,
        front.relay,
        gateway.key,
        gateway.relays.requests,
        frozenset(context.health.reachability.cut_off),
    )


def build_origin_exchange(
    settings: FrontSettings,
    context: ForwardingContext,
    shared_store: SharedStore,
    readers: ZoneReaders,
) -> OriginExchange:
    """Return the exchange and records of where streams began."""
    identity = shared_store.identity
    cache = context.configuration_cache
    records = OriginRecords(
        OriginRows(shared_store.store, settings.front.availability_zone),
        context.origins,
        f'{identity.name}/{identity.incarnation}',
        lambda: cache.store_time_s(boot_time_s()),
    )
    return OriginExchange(
        context.origins,
        shared_store,
        readers,
        sorted(settings.zones.regions),
        records,
    )


def build_rollout_exchange(
    settings: FrontSettings,
    context: ForwardingContext,
    shared_store: SharedStore,
    readers: ZoneReaders,
    random: Random,
) -> RolloutExchange:
    """Return what carries out the operator's orders to move services."""
    bounds = settings.bounds
    control = RolloutControl(
        StoredSteps(context.rollouts, context.metrics),
        shared_store.store,
        readers,
        RolloutBounds(
            bounds.exposure_share or 0,
            bounds.exposure_slack,
            bounds.rollback_ms / MILLISECONDS,
        ),
        lambda: shared_store.election.doubt(boot_time_s()),
        random,
    )
    return RolloutExchange(control, shared_store, random)


def build_zone_readers(
    settings: FrontSettings, store: StoreClient, shared_store: SharedStore
) -> ZoneReaders:
    """Return the links to the readers of other zones."""
    zones = len(settings.zones.regions)
    return ZoneReaders(store, shared_store.identity, zones)
