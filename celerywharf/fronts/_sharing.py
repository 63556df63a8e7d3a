"""Builds the access to the store that the fronts of a zone share."""

from __future__ import annotations

import secrets
from random import Random

from celerywharf.forwarding import ForwardingContext
from celerywharf.platform import StoreClient
from celerywharf.settings import FrontSettings
from celerywharf.sharing import (
    Lending,
    Reader,
    ReaderElection,
    SharedStore,
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


def build_zone_readers(
    settings: FrontSettings, store: StoreClient, shared_store: SharedStore
) -> ZoneReaders:
    """Return the links to the readers of other zones."""
    zones = len(settings.zones.regions)
    return ZoneReaders(store, shared_store.identity, zones)
