"""How a replica becomes ready while the platform is away."""

import asyncio
from random import Random
from types import SimpleNamespace

from celerywharf.exceptions import (
    PeerUnreachableError,
    PlatformUnavailableError,
)
from celerywharf.structures import Address, HostIdentity
from celerywharf.tables._replica import Replica
from celerywharf.tables._synchronizer import STARTUP_PEER_LIMIT, Synchronizer
from celerywharf.wire.tables import TableDelta, TableDigest

HOSTS = 100
TRIES = 3


class Links:
    """Links to hosts of which the first are not ready either."""

    async def request(self, peer, message, _timeout_s):
        """Return a digest or the whole table."""
        if peer.port <= STARTUP_PEER_LIMIT:
            raise PeerUnreachableError('starting')
        if isinstance(message, TableDigest):
            return TableDigest('f', 'north-1', 7, 0, True, 0)
        return TableDelta(0, 7, [], more=False)


class Platform:
    """A platform that is away."""

    async def read(self, *_):
        """Fail."""
        raise PlatformUnavailableError('away')

    scan = read


def test_hosts_that_are_not_ready_do_not_hide_those_that_are():
    address = Address('127.0.0.1', HOSTS + 1)
    host = SimpleNamespace(
        identity=HostIdentity('f0', 'north', 'north-1', address, 1),
        links=Links(),
        platform=Platform(),
        timers=SimpleNamespace(now=int),
    )
    replica = Replica()
    synchronizer = Synchronizer(
        host, replica, lambda delta, _: replica.apply(delta), Random(1)
    )
    addresses = [f'127.0.0.1:{port}' for port in range(1, HOSTS + 1)]
    for _ in range(TRIES):
        asyncio.run(synchronizer.become_ready(addresses))
    assert synchronizer.freshness.ready
    assert replica.revision == 7
