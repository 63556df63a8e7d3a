"""Choice of the host that admits work to a backend server."""

from __future__ import annotations

from collections.abc import Iterable

from celerywharf.membership import Peer
from celerywharf.utils import rendezvous_order


def owner_of(backend_server: str, peers: Iterable[Peer]) -> Peer | None:
    """Choose the owner of a backend server by rendezvous hashing.

    A leaving host is chosen only if all hosts are leaving.  Returns None if
    there are no hosts.
    """
    hosts = list(peers)
    staying = [peer for peer in hosts if not peer.leaving]
    by_name = {peer.name: peer for peer in staying or hosts}
    if not by_name:
        return None
    return by_name[rendezvous_order(backend_server, list(by_name))[0]]
