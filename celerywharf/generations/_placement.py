"""Which hosts hold the replica of a generation, and where to look for it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from celerywharf.membership import Peer
from celerywharf.structures import HostIdentity
from celerywharf.utils import rendezvous_order

SEARCHED_PER_ZONE = 3


def replica_order(
    generation: str,
    owner: HostIdentity,
    peers: Iterable[Peer],
) -> list[Peer]:
    """Sort possible replicas, best first.

    Other availability zones of the owner's region come before its own zone;
    other regions are never used, because their link is narrow and billed.
    """
    near = {
        peer.name: peer
        for peer in peers
        if peer.region == owner.region and peer.name != owner.name
    }
    ordered = [near[name] for name in rendezvous_order(generation, list(near))]
    zone = owner.availability_zone
    return sorted(
        ordered,
        key=lambda peer: (peer.leaving, peer.availability_zone == zone),
    )


def search_order(generation: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return the few hosts of each zone that may hold the replica."""
    zones: dict[tuple[str, str], dict[str, Peer]] = defaultdict(dict)
    for peer in peers:
        zones[peer.region, peer.availability_zone][peer.name] = peer
    found: list[Peer] = []
    for members in zones.values():
        names = rendezvous_order(generation, list(members))
        found += [members[name] for name in names[:SEARCHED_PER_ZONE]]
    return found
