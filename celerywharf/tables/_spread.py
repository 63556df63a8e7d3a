"""Decides who tells whom about news, and who polls the platform.

Inside a zone news goes down a tree with a small fan-out whose root is the
host that brought it there; each other zone gets it through two of its hosts.
No host ever sends to all others, and what a broken branch misses the
comparison of digests brings later.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

ZONE_FAN_OUT = 8
ENTRIES_PER_ZONE = 2
OTHER_ZONE_DIGEST_RATIO = 0.25
FALLBACK_POLLERS = 2
RELAYS_KEPT = 128


@dataclass(frozen=True, slots=True, order=True)
class Replicator:
    """A host as seen by the table.

    Attributes:
        address: inner address, written ip:port; unique.
        availability_zone: where it stands.
    """

    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Push:
    """Send news to a host, naming the root of the tree of its zone."""

    address: str
    root: str


class Relays:
    """Remembers which pushes were passed on, each once for each root.

    A zone may be entered at two hosts.  Each is the root of its own tree, so
    a host passes the same news on in both, even where it is no longer new;
    otherwise hosts below it in the second tree could miss it.
    """

    def __init__(self) -> None:
        self.recent: deque[tuple[int, str]] = deque(maxlen=RELAYS_KEPT)

    def is_first(self, revision: int, root: str) -> bool:
        """Tell whether a push comes by for the first time."""
        push = (revision, root)
        if push in self.recent:
            return False
        self.recent.append(push)
        return True


class Spread:
    """The choices of one host.

    Attributes:
        me: the host that chooses.
        random: seeded source for choices that only balance load.
    """

    def __init__(self, me: Replicator, source: random.Random) -> None:
        self.me = me
        self.random = source

    def pushes_of_origin(
        self,
        revision: int,
        others: Iterable[Replicator],
    ) -> list[Push]:
        """Choose whom the host that learned news first tells."""
        others = list(others)
        pushes = self.pushes_in_zone(revision, self.me.address, others)
        zones = defaultdict(list)
        for other in others:
            zones[other.availability_zone].append(other)
        zones.pop(self.me.availability_zone, None)
        for hosts in zones.values():
            ranked = ranking(str(revision), hosts)
            for entry in ranked[:ENTRIES_PER_ZONE]:
                pushes.append(Push(entry.address, entry.address))
        return pushes

    def pushes_in_zone(
        self,
        revision: int,
        root: str,
        others: Iterable[Replicator],
    ) -> list[Push]:
        """Choose whom a host tells inside its zone."""
        zone = self._zone(others)
        addresses = [host.address for host in ranking(str(revision), zone)]
        ordered = [root] + [name for name in addresses if name != root]
        first = ordered.index(self.me.address) * ZONE_FAN_OUT + 1
        children = ordered[first : first + ZONE_FAN_OUT]
        return [Push(address, root) for address in children]

    def is_poller(self, others: Iterable[Replicator]) -> bool:
        """Tell whether this host reads the platform for its zone."""
        zone = self._zone(others)
        topic = f'poller {self.me.availability_zone}'
        return ranking(topic, zone)[0] == self.me

    def polls_now(
        self,
        others: Iterable[Replicator],
        platform_age_s: float,
        oldest_s: float,
    ) -> bool:
        """Tell whether to read the platform at this tick.

        When the poller of the zone brings nothing, a few of the others
        stand in for it at each tick.
        """
        others = list(others)
        if self.is_poller(others):
            return True
        if platform_age_s < oldest_s:
            return False
        chance = FALLBACK_POLLERS / len(self._zone(others))
        return self.random.random() < chance

    def digest_peer(self, others: Iterable[Replicator]) -> str | None:
        """Choose a peer to compare digests with, mostly in the own zone."""
        near = []
        far = []
        for other in others:
            same = other.availability_zone == self.me.availability_zone
            (near if same else far).append(other)
        wants_far = self.random.random() < OTHER_ZONE_DIGEST_RATIO
        pool = (far or near) if wants_far else (near or far)
        return self.random.choice(sorted(pool)).address if pool else None

    def _zone(self, others: Iterable[Replicator]) -> list[Replicator]:
        return [self.me] + [
            other
            for other in others
            if other.availability_zone == self.me.availability_zone
        ]


def ranking(topic: str, hosts: Iterable[Replicator]) -> list[Replicator]:
    """Order hosts by rendezvous hashing, the same on every host."""
    return sorted(
        hosts,
        key=lambda host: (_weight(topic, host.address), host.address),
        reverse=True,
    )


def _weight(topic: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f'{topic} {address}'.encode())
