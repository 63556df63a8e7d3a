"""Public representation of entry hosts."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.membership.states import Status
from celerywharf.structures import Address
from celerywharf.wire.membership import PeerState

if TYPE_CHECKING:
    from celerywharf.hosts import Host


PEER_CACHE_SIZE = 4096


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry host.

    Attributes:
        name: unique among hosts.
        region: where the host runs.
        availability_zone: where the host runs.
        inner: address for connections from other hosts.
        edge: address for connections from callers, None when unknown.
        incarnation: increases with each start of the process.
        leaving: whether it is shutting down and takes no new work.
    """

    name: str
    region: str
    availability_zone: str
    inner: Address
    edge: Address | None
    incarnation: int
    leaving: bool

    @classmethod
    @functools.lru_cache(maxsize=PEER_CACHE_SIZE)
    def of(cls, state: PeerState) -> Peer:
        """Convert the state received in a message."""
        return cls(
            name=state.name,
            region=state.region,
            availability_zone=state.availability_zone,
            inner=Address.parse(state.inner),
            edge=Address.parse(state.edge) if state.edge else None,
            incarnation=state.incarnation,
            leaving=state.leaving,
        )


def own_state(host: Host) -> PeerState:
    """Return the initial state that this host announces."""
    identity = host.identity
    return PeerState(
        name=identity.name,
        region=identity.region,
        availability_zone=identity.availability_zone,
        inner=str(identity.inner),
        edge=str(host.settings.host.listen),
        incarnation=identity.incarnation,
        serial=0,
        status=Status.alive.value,
        leaving=False,
    )
