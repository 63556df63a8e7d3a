"""Finds the other hosts that hold a replica of the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError
from celerywharf.tables._propagation import ReplicaHost

if TYPE_CHECKING:
    from celerywharf.hosts import Host


def other_hosts(host: Host) -> list[ReplicaHost]:
    """Return the live peers, or the seeds while no peer is known."""
    own_address = str(host.identity.inner)
    found = {
        str(peer.inner): ReplicaHost(str(peer.inner), peer.availability_zone)
        for peer in host.membership.live()
    }
    if not found.keys() - {own_address}:
        zone = host.identity.availability_zone
        for seed in host.settings.peers.seeds:
            found[str(seed)] = ReplicaHost(str(seed), zone)
    found.pop(own_address, None)
    return list(found.values())


async def listed_hosts(host: Host) -> set[str]:
    """Return the inner addresses of all hosts on the platform's list.

    A host knows only some of the hosts in other zones.  The platform's list
    lags but holds all of them.  Empty when the platform does not answer.
    """
    try:
        listed = await host.platform.hosts()
    except CelerywharfError:
        return set()
    return {str(entry.address) for entry in listed}
