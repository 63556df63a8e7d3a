"""Chooses which hosts receive an update, and which poll the platform.

Within an availability zone an update is forwarded along a tree with a small
fan-out, whose root is the host that brought it into the zone.  Every other
zone receives it at two of its hosts.  No host sends to all others.  Hosts that
a broken branch leaves out get the update when they compare digests with a
peer.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

ZONE_FAN_OUT = 8
ENTRY_HOSTS_PER_ZONE = 2
OTHER_ZONE_DIGEST_RATIO = 0.25
FALLBACK_POLLERS = 2
FORWARDED_PUSHES_LIMIT = 128


@dataclass(frozen=True, slots=True, order=True)
class ReplicaHost:
    """A host that holds a replica of the table.

    Attributes:
        address: inner address, written ip:port; unique.
        availability_zone: availability zone of the host.
    """

    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Push:
    """An update to be sent to a host.

    Attributes:
        address: inner address of the receiver.
        root: inner address of the root of the tree in the receiver's zone.
    """

    address: str
    root: str


class ForwardedPushes:
    """The latest pushes that a host has forwarded, by revision and root.

    An update may enter a zone at two hosts, each the root of its own tree.  A
    host forwards the update once in each tree, even if it already has it:
    hosts below it in the second tree would otherwise not receive it.
    """

    def __init__(self) -> None:
        self.recent: deque[tuple[int, str]] = deque(
            maxlen=FORWARDED_PUSHES_LIMIT,
        )

    def add(self, revision: int, root: str) -> bool:
        """Record a push; return False if it was recorded before."""
        push = (revision, root)
        if push in self.recent:
            return False
        self.recent.append(push)
        return True


class Propagation:
    """Chooses receivers, pollers and peers on behalf of one host.

    Attributes:
        local: the host that it chooses for.
        random: random source for choices that only balance load.
    """

    def __init__(self, local: ReplicaHost, source: random.Random) -> None:
        self.local = local
        self.random = source

    def pushes_from_origin(
        self,
        revision: int,
        others: Iterable[ReplicaHost],
    ) -> list[Push]:
        """Return the pushes of the host that committed a change."""
        others = list(others)
        pushes = self.pushes_in_zone(revision, self.local.address, others)
        zones = defaultdict(list)
        for other in others:
            zones[other.availability_zone].append(other)
        zones.pop(self.local.availability_zone, None)
        for hosts in zones.values():
            ranked = rank_hosts(str(revision), hosts)
            for entry in ranked[:ENTRY_HOSTS_PER_ZONE]:
                pushes.append(Push(entry.address, entry.address))
        return pushes

    def pushes_in_zone(
        self,
        revision: int,
        root: str,
        others: Iterable[ReplicaHost],
    ) -> list[Push]:
        """Return the pushes to the children of this host in a zone's tree.

        The order of hosts in the tree depends on the revision, so that the
        hosts take turns in forwarding.
        """
        zone = self._zone(others)
        addresses = [host.address for host in rank_hosts(str(revision), zone)]
        ordered = [root] + [name for name in addresses if name != root]
        first = ordered.index(self.local.address) * ZONE_FAN_OUT + 1
        children = ordered[first : first + ZONE_FAN_OUT]
        return [Push(address, root) for address in children]

    def is_poller(self, others: Iterable[ReplicaHost]) -> bool:
        """Return whether this host polls the platform for its zone."""
        zone = self._zone(others)
        topic = f'poller {self.local.availability_zone}'
        return rank_hosts(topic, zone)[0] == self.local

    def should_poll(
        self,
        others: Iterable[ReplicaHost],
        platform_age_s: float,
        max_age_s: float,
    ) -> bool:
        """Return whether this host polls the platform now.

        The poller of the zone always does.  When its updates have stopped,
        about ``FALLBACK_POLLERS`` random hosts of the zone poll as well each
        period.

        Args:
            others: the other hosts that are known.
            platform_age_s: age of the local replica in seconds.
            max_age_s: age from which other hosts than the poller may poll.
        """
        others = list(others)
        if self.is_poller(others):
            return True
        if platform_age_s < max_age_s:
            return False
        chance = FALLBACK_POLLERS / len(self._zone(others))
        return self.random.random() < chance

    def choose_digest_peer(self, others: Iterable[ReplicaHost]) -> str | None:
        """Return a random peer to compare digests with, None if none is known.

        Most of the time it is in the same zone.
        """
        near = []
        far = []
        for other in others:
            same = other.availability_zone == self.local.availability_zone
            (near if same else far).append(other)
        prefers_far = self.random.random() < OTHER_ZONE_DIGEST_RATIO
        pool = (far or near) if prefers_far else (near or far)
        return self.random.choice(sorted(pool)).address if pool else None

    def _zone(self, others: Iterable[ReplicaHost]) -> list[ReplicaHost]:
        return [self.local] + [
            other
            for other in others
            if other.availability_zone == self.local.availability_zone
        ]


def rank_hosts(topic: str, hosts: Iterable[ReplicaHost]) -> list[ReplicaHost]:
    """Sort hosts by rendezvous hashing, in the same order on every host.

    Args:
        topic: hashed with each address; another topic gives another order.
        hosts: the hosts to be sorted.
    """
    return sorted(
        hosts,
        key=lambda host: (_weight(topic, host.address), host.address),
        reverse=True,
    )


def _weight(topic: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f'{topic} {address}'.encode())
