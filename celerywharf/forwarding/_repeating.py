"""Sends a request until it is settled or its budget is used up."""

from __future__ import annotations

import abc

from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._plans import (
    Done,
    Fail,
    PassOn,
    RetryPlan,
    SendAgain,
    Step,
)
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._stories import Story


class Forwarding(abc.ABC):
    """One request on its way to backend servers.

    Attributes:
        context: parts of the host.
        request: what the caller sent.
        service: whose backend servers may get it.
        story: its log lines.
        plan: what may follow a send.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        story: Story,
    ) -> None:
        self.context = context
        self.request = request
        self.service = service
        self.story = story
        self.plan = RetryPlan(request.route.policy, request.route.max_attempts)

    async def run(self) -> PassOn | Fail | Done:
        """Return what the caller is told, unless it already has it all."""
        self.context.budget.requested(self.service, self.context.timers.now())
        while True:
            step = await self.send()
            if not isinstance(step, SendAgain):
                return step
            if not self._may_repeat():
                return self.plan.given_up('retry budget is used up')

    @abc.abstractmethod
    async def send(self) -> Step:
        """Send the request once; return what follows."""

    def under_way(self) -> bool:
        """Tell whether the caller already has a part of the answer."""
        return False

    def _may_repeat(self) -> bool:
        if not self.plan.arrivals:
            return True
        return self.context.budget.take(
            self.service,
            self.context.timers.now(),
            under_way=self.under_way(),
        )
