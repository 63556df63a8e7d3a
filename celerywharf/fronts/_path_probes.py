"""Finds out when a host reaches a service again."""

from __future__ import annotations

import asyncio
from random import Random

from celerywharf.adapters.transports import HttpRequest, Transport
from celerywharf.backends import Reachability
from celerywharf.exceptions import CelerywharfError
from celerywharf.tasks import Part

# Hosts that lost their paths together do not probe at the same time.
MIN_PERIOD_S = 0.3
MAX_PERIOD_S = 0.7
CONNECT_TIMEOUT_S = 0.3  # a round trip between regions takes 40 ms


class PathProbes(Part):
    """Connects to servers of services that this host is cut off from.

    Nothing is sent on the connections.  Without them only a caller's request
    could show that a path is restored.
    """

    def __init__(
        self, reachability: Reachability, transport: Transport, random: Random
    ) -> None:
        super().__init__()
        self.reachability = reachability
        self.transport = transport
        self.random = random

    def start(self) -> None:
        """Start to probe whenever a service is out of reach."""
        super().start()
        self.spawn(self._probe_repeatedly())

    async def _probe_repeatedly(self) -> None:
        reachability = self.reachability
        while True:
            await reachability.changed.wait()
            await asyncio.sleep(self.random.uniform(MIN_PERIOD_S, MAX_PERIOD_S))
            services = tuple(
                filter(reachability.is_cut_off, tuple(reachability.cut_off))
            )
            if not services:
                reachability.changed.clear()
            await asyncio.gather(*map(self._probe, services))

    async def _probe(self, service: str) -> None:
        servers = self.reachability.directory.usable(service)
        if not servers:
            return  # the last one has left in the meantime
        server = self.random.choice(servers)
        request = HttpRequest(
            'GET',
            f'http://{server.address}/',
            timeout_s=CONNECT_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            fresh_connection=True,
            connect_only=True,
        )
        try:
            await self.transport.fetch(request)
        except CelerywharfError:
            return  # still out of reach; the begin of that has been logged
        self.reachability.reached(service)
