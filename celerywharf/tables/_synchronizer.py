"""Brings a replica up to date from the platform and from peers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.tables import _peers
from celerywharf.tables._freshness import Freshness
from celerywharf.tables._reader import read_deltas
from celerywharf.tables._replica import Replica
from celerywharf.tables.changes import Delta
from celerywharf.wire.tables import TableDigest

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

STARTUP_PEER_LIMIT = 24

DeltaCallback = Callable[[Delta, str], None]


class Synchronizer:
    """Fetches the changes that the replica of one host lacks.

    Attributes:
        host: the host that holds the replica.
        replica: the replica, for its revision and checksum.
        on_delta: called with each delta and the inner address of the peer
            it came from, empty for the platform; applies it before it
            returns.
        freshness: whether the replica is ready, and its age.
        random: chooses the peers that are asked at the start.
        poll_lock: held while the platform is read.
    """

    def __init__(
        self,
        host: Host,
        replica: Replica,
        on_delta: DeltaCallback,
        random: Random,
    ) -> None:
        self.host = host
        self.replica = replica
        self.on_delta = on_delta
        self.random = random
        self.freshness = Freshness()
        self.poll_lock = asyncio.Lock()

    def digest(self) -> TableDigest:
        """Return the state of the replica, as sent to peers."""
        own = self.replica.digest()
        identity = self.host.identity
        return TableDigest(
            host=identity.name,
            availability_zone=identity.availability_zone,
            revision=own.revision,
            checksum=own.checksum,
            ready=self.freshness.ready,
            platform_age_s=self.freshness.age_s(self.host.timers.now()),
        )

    async def become_ready(self, addresses: Iterable[str]) -> None:
        """Read the platform or, if it does not answer, the newest peer.

        The replica may still not be ready afterwards.  Each call asks other
        peers, since those asked before may be starting as well.
        """
        await self.poll()
        if self.freshness.ready:
            return
        known = list(addresses)
        count = min(len(known), STARTUP_PEER_LIMIT)
        answers = await self.exchange_digests(self.random.sample(known, count))
        ready = {
            address: digest.revision
            for address, digest in answers.items()
            if digest is not None and digest.ready
        }
        for address in sorted(ready, key=ready.__getitem__, reverse=True):
            await self.pull(address, self.replica.revision)
            self.freshness.on_peer_revisions(
                ready.values(),
                self.replica.revision,
            )
            if self.freshness.ready:
                return

    async def poll(self) -> None:
        """Read new changes from the platform; log if it is unavailable."""
        async with self.poll_lock:
            started_s = self.host.timers.now()
            try:
                deltas = await read_deltas(
                    self.host.platform,
                    self.replica.revision,
                )
            except PlatformUnavailableError as error:
                logger.info(
                    'table not read from the platform: %s', error.message
                )
                return
            for delta in deltas:
                self.on_delta(delta, '')
            self.freshness.on_platform_read(started_s)

    async def fill_gap(self, source: str) -> None:
        """Fetch the changes missing before a delta that was not applied.

        Args:
            source: inner address of the peer that sent the delta, empty to
                read the platform.
        """
        if source:
            await self.pull(source, self.replica.revision)
        else:
            await self.poll()

    async def pull(self, address: str, since: int) -> None:
        """Pull the changes after a revision from a peer; log a failure."""
        try:
            delta = await _peers.pull(self.host.links, address, since)
        except CelerywharfError as error:
            logger.info('no delta from peer %s: %s', address, error.message)
            return
        self.on_delta(delta, address)

    async def compare(self, address: str) -> None:
        """Compare digests with a peer and pull what this replica lacks."""
        answer = await _peers.exchange_digest(
            self.host.links,
            address,
            self.digest(),
        )
        if answer is not None:
            await self.reconcile(answer, address)

    async def reconcile(self, peer: TableDigest, address: str) -> None:
        """Pull from a peer whose digest shows rows that are missing here.

        A peer at the same revision with another checksum sends all its rows.
        """
        own = self.replica.digest()
        if peer.revision > own.revision:
            await self.pull(address, own.revision)
        elif own.differs(peer.revision, peer.checksum):
            await self.pull(address, 0)
        self.freshness.on_peer_digest(
            peer,
            self.replica.revision,
            self.host.timers.now(),
        )

    async def exchange_digests(
        self,
        addresses: Iterable[str],
    ) -> Mapping[str, TableDigest | None]:
        """Return the digests of peers by address, None if unreachable."""
        links = self.host.links
        return await _peers.exchange_digests(links, addresses, self.digest())
