"""Retry loop common to calls and streams."""

from __future__ import annotations

import abc
import itertools
import math
from collections.abc import Iterable, Sequence
from http import HTTPStatus

from celerywharf.backends import BackendServer
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
)
from celerywharf.forwarding._plans import (
    Done,
    Fail,
    PassOn,
    RetryPlan,
    SendAgain,
    Step,
)
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest

# Servers at their limits that are passed over for one request.
MAX_LIMITED = 16
MIN_RETRY_AFTER_S = 0.2
# Those who are refused together return at different times.
RETRY_AFTER_JITTER = 1.0


class Forwarding(abc.ABC):
    """Sends one request until it is finished or must not be retried.

    Attributes:
        context: components of the host.
        request: the caller's request.
        service: name of the service that the request is sent to.
        request_log: writes its log lines.
        plan: decides the next step after each send.
        limit_wait_s: the shortest time after which a server that was at its
            limit may be tried; infinite if there was none.
        traits: what may crash backend servers about the request.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        request_log: RequestLog,
    ) -> None:
        self.context = context
        self.request = request
        self.service = service
        self.request_log = request_log
        self.plan = RetryPlan(request.route.policy, request.route.max_attempts)
        self.limit_wait_s = math.inf
        self.traits = request.traits

    async def run(self) -> PassOn | Fail | Done:
        """Send and retry the request; return the final step."""
        self.context.retries.record_request(self.service)
        while True:
            blocking = self.context.quarantine.blocking_trait(self.traits)
            if blocking is not None:
                self.context.metrics.count('quarantine_refusals')
                return self.plan.quarantined(blocking)
            self.limit_wait_s = math.inf
            step = await self.send()
            if not isinstance(step, SendAgain):
                return step
            if not await self._may_repeat():
                return self.plan.give_up('retry budget exhausted')

    @abc.abstractmethod
    async def send(self) -> Step:
        """Send the request once and return the next step."""

    def in_progress(self) -> bool:
        """Return whether the caller already has a part of the answer."""
        return False

    def suspects(self) -> Sequence[str]:
        """Return the traits that may have crashed the server of a send."""
        return self.traits

    def record_end(self, server: BackendServer, outcome: Outcome) -> None:
        """Record whether a server was lost under the request."""
        quarantine = self.context.quarantine
        match outcome:
            case Lost(broken=True, begun=begun):
                quarantine.lost(
                    self.suspects(),
                    server.incarnation,
                    server.availability_zone,
                    begun=begun,
                )
            case Finished():
                quarantine.completed(self.traits)
            case Answered(response=response) if (
                response.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                quarantine.completed(self.traits)

    async def first_within_limit(
        self, servers: Iterable[BackendServer]
    ) -> BackendServer | None:
        """Return the first server whose limit allows this request.

        None if there is none among the first ``MAX_LIMITED`` servers; the
        shortest time after which one may be tried is kept for the caller.
        """
        for server in itertools.islice(servers, MAX_LIMITED):
            if await self.is_within_limit(server):
                return server
        return None

    async def is_within_limit(self, server: BackendServer) -> bool:
        """Return whether a server's limit allows a request now."""
        limits = self.context.limits
        incarnation = server.incarnation
        if await limits.acquire(incarnation, in_progress=self.in_progress()):
            return True
        wait_s = limits.wait_s(incarnation)
        self.limit_wait_s = min(self.limit_wait_s, wait_s)
        return False

    def give_up_for_now(self) -> PassOn | Fail:
        """Return the final step if no server may be sent the request now."""
        if math.isinf(self.limit_wait_s):
            return self.plan.give_up('no backend server available')
        spread = 1 + RETRY_AFTER_JITTER * self.context.random.random()
        return self.plan.give_up(
            'backend servers are at their limits',
            max(self.limit_wait_s, MIN_RETRY_AFTER_S) * spread,
        )

    async def _may_repeat(self) -> bool:
        if not self.plan.delivered:
            return True
        return await self.context.retries.take(
            self.service, in_progress=self.in_progress()
        )
