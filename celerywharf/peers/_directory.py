"""What the reader of a zone knows of the zone's hosts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from celerywharf.structures import Address

# Hosts announce themselves more than once a second.
ANNOUNCED_FOR_S = 2.5
MAX_HOSTS = 4096
MAX_CHOSEN = 8


@dataclass(frozen=True, slots=True)
class PeerHost:
    """A host that takes in requests of others.

    Attributes:
        name: name of the host.
        availability_zone: its zone.
        address: where it serves other hosts.
        key: proves to it that a request comes from a host.
        load: requests of other hosts that it was serving.
        cut_off: services that it does not reach.
    """

    name: str
    availability_zone: str
    address: Address
    key: bytes
    load: int
    cut_off: frozenset[str]


class PeerDirectory:
    """Keeps the hosts that announced themselves lately.

    Attributes:
        hosts: each host and when it announced itself, by name.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.hosts: dict[str, tuple[PeerHost, float]] = {}

    def learn(self, host: PeerHost, now_s: float) -> None:
        """Record an announcement."""
        if host.name not in self.hosts and len(self.hosts) >= MAX_HOSTS:
            self._drop_expired(now_s)
            if len(self.hosts) >= MAX_HOSTS:
                return
        self.hosts[host.name] = (host, now_s)

    def choose(
        self, service: str, excluded: Iterable[str], now_s: float
    ) -> list[PeerHost]:
        """Return some hosts that reach a service, chosen at random."""
        self._drop_expired(now_s)
        names = frozenset(excluded)
        hosts = [
            host
            for host, _ in self.hosts.values()
            if host.name not in names and service not in host.cut_off
        ]
        return self.random.sample(hosts, min(len(hosts), MAX_CHOSEN))

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - ANNOUNCED_FOR_S
        self.hosts = {
            name: (host, announced_s)
            for name, (host, announced_s) in self.hosts.items()
            if announced_s > oldest_s
        }
