"""Which backend servers may be sent a request now."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable

from celerywharf.backends import BackendServer
from celerywharf.forwarding._context import ForwardingContext

# Servers at their limits that are passed over for one request.
MAX_LIMITED = 16


class Eligibility:
    """Checks servers for one request against what they have stated.

    Attributes:
        limit_wait_s: the shortest time after which a server that was at its
            limit may be tried; infinite if there was none.
        in_progress: returns whether the caller has a part of the answer.
    """

    def __init__(
        self, context: ForwardingContext, in_progress: Callable[[], bool]
    ) -> None:
        self.context = context
        self.in_progress = in_progress
        self.limit_wait_s = math.inf

    async def first_eligible(
        self, servers: Iterable[BackendServer]
    ) -> BackendServer | None:
        """Return the first server whose limit allows this request.

        None if there is none among the first ``MAX_LIMITED`` servers; the
        shortest time after which one may be tried is kept for the caller.
        """
        for server in itertools.islice(servers, MAX_LIMITED):
            if await self.is_eligible(server):
                return server
        return None

    def may_send(self, server: BackendServer) -> bool:
        """Return whether a server that was chosen still wants requests.

        To be asked right before a send, after all that was waited for: the
        server may have said something else in answers to other requests.
        """
        if self.context.limits.is_paused(server.incarnation):
            return False
        return self.context.health.directory.accepts(server)

    async def is_eligible(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to a server now."""
        return await self.is_within_limit(server) and self.may_send(server)

    async def is_within_limit(self, server: BackendServer) -> bool:
        """Return whether a server's limit allows a request now."""
        limits = self.context.limits
        incarnation = server.incarnation
        if await limits.acquire(incarnation, in_progress=self.in_progress()):
            return True
        wait_s = limits.wait_s(incarnation)
        self.limit_wait_s = min(self.limit_wait_s, wait_s)
        return False
