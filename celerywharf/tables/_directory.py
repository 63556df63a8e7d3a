"""Which other hosts the table talks to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.tables._spread import Replicator

if TYPE_CHECKING:
    from celerywharf.hosts import Host


def other_hosts(host: Host) -> list[Replicator]:
    """List the live peers, or the seeds while no peer is known."""
    me = str(host.identity.inner)
    membership = getattr(host, 'membership', None)
    peers = membership.live() if membership else ()
    found = {
        str(peer.inner): Replicator(str(peer.inner), peer.availability_zone)
        for peer in peers
    }
    if not found.keys() - {me}:
        zone = host.identity.availability_zone
        for seed in host.settings.peers.seeds:
            found[str(seed)] = Replicator(str(seed), zone)
    found.pop(me, None)
    return list(found.values())
