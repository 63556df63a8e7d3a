"""Which host admits work to a backend server."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from celerywharf.membership import Peer


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing; a lost name moves only its keys."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{key}\n{name}'.encode()),
        reverse=True,
    )


def owner_of(backend_server: str, peers: Iterable[Peer]) -> Peer | None:
    """Choose the owner among hosts; a leaving host only when all are."""
    hosts = list(peers)
    staying = [peer for peer in hosts if not peer.leaving]
    by_name = {peer.name: peer for peer in staying or hosts}
    if not by_name:
        return None
    return by_name[rank(backend_server, by_name)[0]]
