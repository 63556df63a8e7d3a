"""Brings a replica up to date from the platform and from peers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.tables import _gossip
from celerywharf.tables._freshness import Freshness
from celerywharf.tables._reader import read_news
from celerywharf.tables._replica import Replica
from celerywharf.tables.changes import Delta
from celerywharf.wire.tables import TableDigest

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

START_PEERS = 24

Learn = Callable[[Delta, str], None]


class CatchUp:
    """Reads what the replica of one host lacks.

    Attributes:
        host: the host it belongs to.
        replica: what the host has.
        freshness: whether the replica is ready, and its age.
        learn: takes a delta and the peer it came from, at once.
        reading: held while the platform is read.
    """

    def __init__(self, host: Host, replica: Replica, learn: Learn) -> None:
        self.host = host
        self.replica = replica
        self.learn = learn
        self.freshness = Freshness()
        self.reading = asyncio.Lock()

    def digest(self) -> TableDigest:
        """Return what this host tells peers about its replica."""
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
        """Read the platform or, failing that, the most advanced peer."""
        await self.poll()
        if self.freshness.ready:
            return
        answers = await self.ask(list(addresses)[:START_PEERS])
        ready = {
            address: digest.revision
            for address, digest in answers.items()
            if digest is not None and digest.ready
        }
        for address in sorted(ready, key=ready.__getitem__, reverse=True):
            await self.pull(address, self.replica.revision)
            self.freshness.peers_asked(ready.values(), self.replica.revision)
            if self.freshness.ready:
                return

    async def poll(self) -> None:
        """Read the platform; only logs when it does not answer."""
        async with self.reading:
            started_s = self.host.timers.now()
            try:
                news = await read_news(
                    self.host.platform,
                    self.replica.revision,
                )
            except PlatformUnavailableError as error:
                logger.info('table not read: %s', error.message)
                return
            for delta in news:
                self.learn(delta, '')
            self.freshness.platform_read(started_s)

    async def fill_gap(self, source: str) -> None:
        """Read what lies before news that could not be applied."""
        if source:
            await self.pull(source, self.replica.revision)
        else:
            await self.poll()

    async def pull(self, address: str, since: int) -> None:
        """Read what a peer has beyond a revision."""
        try:
            delta = await _gossip.pull(self.host.links, address, since)
        except CelerywharfError as error:
            logger.info('peer %s gave no delta: %s', address, error.message)
            return
        self.learn(delta, address)

    async def compare(self, address: str) -> None:
        """Compare digests with a peer and read what it has beyond mine."""
        answer = await _gossip.compare(
            self.host.links,
            address,
            self.digest(),
        )
        if answer is not None:
            await self.settle(answer, address)

    async def settle(self, theirs: TableDigest, address: str) -> None:
        """Act on the digest of a peer."""
        mine = self.replica.digest()
        if theirs.revision > mine.revision:
            await self.pull(address, mine.revision)
        elif mine.differs(theirs.revision, theirs.checksum):
            await self.pull(address, 0)
        self.freshness.peer_compared(
            theirs,
            self.replica.revision,
            self.host.timers.now(),
        )

    async def ask(
        self,
        addresses: Iterable[str],
    ) -> Mapping[str, TableDigest | None]:
        """Return the digests of peers, None where unreachable."""
        links = self.host.links
        return await _gossip.ask_all(links, addresses, self.digest())
