"""Forwarding of plain calls to application servers."""

from __future__ import annotations

from celerywharf.backends import BackendServer, Demand
from celerywharf.forwarding._base import Forwarding
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Outcome, Refused
from celerywharf.forwarding._peer_sends import send_call_to_peer
from celerywharf.forwarding._plans import Step
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import send_call
from celerywharf.peers import PeerHost, Relay
from celerywharf.routing import Idempotent

# Fraction of the remaining time that the first send of an idempotent call may
# take.
FIRST_SEND_FRACTION = 0.6
MIN_ANSWER_TIMEOUT_S = 0.02


class CallForwarding(Forwarding):
    """Sends a call until it is answered or must not be retried.

    Attributes:
        tried_names: names of the servers it was sent to.
        unreachable_names: those of them that could not be connected to.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        request_log: RequestLog,
    ) -> None:
        super().__init__(context, request, service, request_log)
        self.tried_names: set[str] = set()
        self.unreachable_names: set[str] = set()

    async def send(self) -> Step:
        """Send the call once, preferably to a server not tried yet."""
        now_s = self.context.timers.now()
        remaining_s = self.request.deadline_at_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        server = await self._choose(now_s)
        if server is None:
            return self.give_up_for_now()
        self.tried_names.add(server.name)
        with self.sending(server):
            outcome = await send_call(
                self.context,
                self.request,
                server,
                remaining_s,
                self._answer_timeout_s(remaining_s),
            )
        self.record_end(server, outcome)
        if isinstance(outcome, Refused) and not outcome.reached:
            self.unreachable_names.add(server.name)
        remaining_s = self.request.deadline_at_s() - self.context.timers.now()
        step = self.plan.next_step(outcome, remaining_s)
        self.request_log.log_send(server, outcome, step)
        return step

    async def send_to_peer(
        self, peer: PeerHost, relay: Relay, remaining_s: float
    ) -> Outcome:
        """Pass the call to another host and wait for the answer."""
        return await send_call_to_peer(
            self.context, self.request, peer, relay, remaining_s
        )

    async def _choose(self, now_s: float) -> BackendServer | None:
        """Choose an untried server, else a tried one that was reachable."""
        placement = self.context.placement
        for excluded in (self.tried_names, self.unreachable_names):
            ranked = placement.ranked(
                Demand(self.service, excluded=excluded), now_s
            )
            server = await self.first_eligible(ranked)
            if server is not None:
                return server
        return None

    def _answer_timeout_s(self, remaining_s: float) -> float:
        if isinstance(self.request.route.policy, Idempotent) and (
            self.plan.sends + 1 < self.plan.max_attempts
        ):
            remaining_s *= FIRST_SEND_FRACTION
        return max(remaining_s, MIN_ANSWER_TIMEOUT_S)
