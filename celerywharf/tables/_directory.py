"""Which other hosts the table talks to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError
from celerywharf.tables._spread import Replicator

if TYPE_CHECKING:
    from celerywharf.hosts import Host


def other_hosts(host: Host) -> list[Replicator]:
    """List the live peers, or the seeds while no peer is known."""
    me = str(host.identity.inner)
    found = {
        str(peer.inner): Replicator(str(peer.inner), peer.availability_zone)
        for peer in host.membership.live()
    }
    if not found.keys() - {me}:
        zone = host.identity.availability_zone
        for seed in host.settings.peers.seeds:
            found[str(seed)] = Replicator(str(seed), zone)
    found.pop(me, None)
    return list(found.values())


async def listed_hosts(host: Host) -> set[str]:
    """Return the inner addresses on the platform's list, empty when down.

    A host knows only some hosts of other zones; the list, though it lags,
    names all.
    """
    try:
        listed = await host.platform.hosts()
    except CelerywharfError:
        return set()
    return {str(one.address) for one in listed}
