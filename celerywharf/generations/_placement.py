"""Chooses the hosts for replicas, and the hosts to search for them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from celerywharf.membership import Peer
from celerywharf.structures import HostIdentity
from celerywharf.utils import rendezvous_order

HOSTS_SEARCHED_PER_ZONE = 3


def replica_order(
    generation: str,
    owner: HostIdentity,
    peers: Iterable[Peer],
) -> list[Peer]:
    """Sort the possible replicas, best first.

    Hosts that are leaving come last.  Other availability zones of the owner's
    region come before its own zone.  Other regions are never used, because
    the link to them is narrow and billed.
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
    """Return the few hosts of each zone most likely to hold the replica."""
    zones: dict[tuple[str, str], dict[str, Peer]] = defaultdict(dict)
    for peer in peers:
        zones[peer.region, peer.availability_zone][peer.name] = peer
    found: list[Peer] = []
    for members in zones.values():
        names = rendezvous_order(generation, list(members))
        found += [members[name] for name in names[:HOSTS_SEARCHED_PER_ZONE]]
    return found
