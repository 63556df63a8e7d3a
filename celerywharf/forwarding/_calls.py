"""Plain calls to application servers."""

from __future__ import annotations

from celerywharf.backends import BackendServer, Demand
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Refused
from celerywharf.forwarding._plans import Step
from celerywharf.forwarding._repeating import Forwarding
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import send_call
from celerywharf.forwarding._stories import Story
from celerywharf.routing import Idempotent

# Part of the time left that the first send of a repeatable call gets.
FIRST_SEND_SHARE = 0.6
LEAST_PATIENCE_S = 0.02


class CallForwarding(Forwarding):
    """Sends one call until it is answered or given up.

    Attributes:
        tried: names of the servers that it was sent to.
        unreached: those of them that could not be connected.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        story: Story,
    ) -> None:
        super().__init__(context, request, service, story)
        self.tried: set[str] = set()
        self.unreached: set[str] = set()

    async def send(self) -> Step:
        """Send the call to a server that has not had it."""
        now_s = self.context.timers.now()
        remaining_s = self.request.ends_s() - now_s
        if remaining_s <= 0:
            return self.plan.timed_out()
        server = self._choose(now_s)
        if server is None:
            return self.plan.given_up('no backend server')
        self.tried.add(server.name)
        outcome = await send_call(
            self.context,
            self.request,
            server,
            remaining_s,
            self._patience_s(remaining_s),
        )
        if isinstance(outcome, Refused) and not outcome.reached:
            self.unreached.add(server.name)
        remaining_s = self.request.ends_s() - self.context.timers.now()
        step = self.plan.after(outcome, remaining_s)
        self.story.sent(server, outcome, step)
        return step

    def _choose(self, now_s: float) -> BackendServer | None:
        """Choose a new server, then one that could be reached before."""
        placement = self.context.placement
        demand = Demand(self.service, excluded=self.tried)
        again = Demand(self.service, excluded=self.unreached)
        return placement.choose(demand, now_s) or placement.choose(again, now_s)

    def _patience_s(self, remaining_s: float) -> float:
        if isinstance(self.request.route.policy, Idempotent) and (
            self.plan.sends + 1 < self.plan.max_attempts
        ):
            remaining_s *= FIRST_SEND_SHARE
        return max(remaining_s, LEAST_PATIENCE_S)
