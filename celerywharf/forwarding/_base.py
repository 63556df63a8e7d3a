"""Retry loop common to calls and streams."""

from __future__ import annotations

import abc
import asyncio
import math
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from http import HTTPStatus

from celerywharf.backends import BackendServer
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._eligibility import Eligibility
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
    Recalled,
    Refused,
)
from celerywharf.forwarding._peer_sends import make_relay
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
from celerywharf.peers import PeerHost, Relay
from celerywharf.waiting import spread_retry_after_s

MAX_PEERS = 3  # hosts that one request is passed to at most
MIN_RETRY_AFTER_S = 0.2
UNAVAILABLE_RETRY_AFTER_S = 0.3  # a server is likely to be known by then
MAX_RETRY_AFTER_S = 3600.0


class Forwarding(abc.ABC):
    """Sends one request until it is finished or must not be retried.

    Attributes:
        context: components of the host.
        request: the caller's request.
        service: name of the service that the request is sent to.
        request_log: writes its log lines.
        plan: decides the next step after each send.
        eligibility: tells which servers may be sent the request.
        traits: what may crash backend servers about the request.
        tried_peers: names of hosts that it was passed to.
        counted: it is counted for the retry budget.
        retry_taken: the retry for the next send is taken already.
        kept_for: why a silent send was last kept; empty if none was.
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
        self.plan = RetryPlan(request.route.policy, request.max_attempts)
        self.eligibility = Eligibility(context, self.in_progress)
        self.traits = request.traits
        self.tried_peers: set[str] = set()
        self.counted = request.relay is not None and request.relay.counted
        self.retry_taken = False
        self.kept_for = ''

    async def run(self) -> PassOn | Fail | Done:
        """Send and retry the request; return the final step."""
        while True:
            blocking = self.context.quarantine.blocking_trait(self.traits)
            if blocking is not None and not self.is_at_work():
                self.context.metrics.count('quarantine_refusals')
                return self.plan.quarantined(blocking)
            self.eligibility.limit_wait_s = math.inf
            step = await self._send_on_some_path()
            if not isinstance(step, SendAgain):
                return step
            if not await self._may_repeat():
                return self.plan.give_up('retry budget exhausted')

    async def _send_on_some_path(self) -> Step:
        """Send the request through another host if this one is cut off."""
        peer = await self._choose_peer()
        if peer is None:
            if not self.counted:
                self.counted = True
                self.context.retries.record_request(self.service)
                self.context.rollouts.record_request(self.service)
            return await self.send()
        self.tried_peers.add(peer.name)
        remaining_s = self.request.deadline_at_s() - self.context.timers.now()
        if remaining_s <= 0:
            return self.plan.timed_out()
        relay = make_relay(
            self.context,
            self.request,
            remaining_s,
            attempts=self.attempts_for_peer(),
            counted=self.counted,
        )
        outcome = await self.send_to_peer(peer, relay, remaining_s)
        match outcome:
            case Refused():
                self.context.peers.failed(peer)
            case Lost():
                self.context.peers.failed(peer)
                self.plan.passed_on(relay.attempts)
        remaining_s = self.request.deadline_at_s() - self.context.timers.now()
        step = self.plan.next_step(outcome, remaining_s)
        self.request_log.log_relay(peer, outcome, step)
        self.context.metrics.count(
            'relayed', service=self.service, outcome=type(outcome).__name__
        )
        return step

    async def _choose_peer(self) -> PeerHost | None:
        """Return the host through which the request is sent, if any.

        A request that came from another host is not passed on again.
        """
        if self.request.relay is not None or self.has_successor():
            return None
        if not self.context.health.reachability.is_cut_off(self.service):
            return None
        if len(self.tried_peers) >= MAX_PEERS or not self.plan.attempts_left:
            return None
        return await self.context.peers.choose(self.service, self.tried_peers)

    def attempts_for_peer(self) -> int:
        """Return how many of the remaining sends another host may make."""
        return self.plan.attempts_left

    @abc.abstractmethod
    async def send_to_peer(
        self, peer: PeerHost, relay: Relay, remaining_s: float
    ) -> Outcome:
        """Send the request through another host and return the outcome."""

    @abc.abstractmethod
    async def send(self) -> Step:
        """Send the request once and return the next step."""

    def in_progress(self) -> bool:
        """Return whether the caller already has a part of the answer."""
        return False

    def has_successor(self) -> bool:
        """Return whether the next send is in progress already."""
        return False

    def is_at_work(self) -> bool:
        """Return whether the next send is answered already."""
        return False

    def suspects(self) -> Sequence[str]:
        """Return the traits that may have crashed the server of a send."""
        return self.traits

    @contextmanager
    def sending(
        self, server: BackendServer, recall: Callable[[], None] | None = None
    ) -> Iterator[None]:
        """Let the quarantine know of a send while the body runs.

        Args:
            server: the backend server.
            recall: called when the request is quarantined; None if the send
                must not be interrupted.
        """
        try:
            with self.context.quarantine.sending(self.traits, recall):
                yield
        except asyncio.CancelledError:
            self.record_given_up(server)
            raise

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
            case Lost() | Recalled():
                self.record_given_up(server)
            case Refused(reached=False, late=False):
                quarantine.unreachable(server.incarnation)
            case Finished():
                quarantine.completed(self.traits)
            case Answered(response=response) if (
                response.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                quarantine.completed(self.traits)

    def record_given_up(self, server: BackendServer) -> None:
        """Record that the end of a send was not awaited."""
        self.context.quarantine.given_up(
            self.suspects(), server.incarnation, server.availability_zone
        )

    def remaining_s(self) -> float:
        """Return the seconds until the deadline of the request."""
        return self.request.deadline_at_s() - self.context.timers.now()

    def is_quarantined(self) -> bool:
        """Return whether the request must reach no engine."""
        blocking = self.context.quarantine.blocking_trait(self.traits)
        return blocking is not None

    async def take_retry(self) -> bool:
        """Take one retry from the budget of the service."""
        return await self.context.retries.take(
            self.service, in_progress=self.in_progress()
        )

    def keep(self, reason: str) -> None:
        """Record that a silent send is kept, for want of a successor."""
        if reason == self.kept_for:
            return
        self.kept_for = reason
        self.context.metrics.count('silent_sends_kept', service=self.service)
        self.request_log.log_kept(reason)

    def give_up_for_now(self) -> PassOn | Fail:
        """Return the final step if no server may be sent the request now."""
        if math.isinf(self.eligibility.limit_wait_s):
            return self.plan.give_up(
                'no backend server available',
                _retry_after_s(self.context, self.request),
            )
        # Before the end of a pause a retry would be refused as well, so the
        # time that the caller has left does not bound this wait.
        wait_s = max(self.eligibility.limit_wait_s, MIN_RETRY_AFTER_S)
        retry_after_s = spread_retry_after_s(
            min(wait_s, MAX_RETRY_AFTER_S), math.inf, self.context.random
        )
        return self.plan.give_up(
            'backend servers are at their limits', retry_after_s
        )

    async def _may_repeat(self) -> bool:
        if not self.plan.delivered or self.has_successor():
            return True
        if self.retry_taken:
            self.retry_taken = False
            return True
        return await self.take_retry()


def _retry_after_s(
    context: ForwardingContext, request: IncomingRequest
) -> float | None:
    """Return when a request for which there is no server may return.

    None for a request that another host passed on, which tries elsewhere.
    """
    if request.relay is not None:
        return None
    left_s = request.given_up_at_s() - context.timers.now()
    return spread_retry_after_s(
        UNAVAILABLE_RETRY_AFTER_S, left_s, context.random
    )
