"""Retry loop common to calls and streams."""

from __future__ import annotations

import abc
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


class Forwarding(abc.ABC):
    """Sends one request until it is finished or must not be retried.

    Attributes:
        context: components of the host.
        request: the caller's request.
        service: name of the service that the request is sent to.
        request_log: writes its log lines.
        plan: decides the next step after each send.
        prompt_parts: the parts of the prompt that other requests may share.
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
        self.prompt_parts = request.headers.shared_parts

    async def run(self) -> PassOn | Fail | Done:
        """Send and retry the request; return the final step."""
        self.context.retries.record_request(self.service)
        while True:
            blocking = self.context.quarantine.blocking_part(self.prompt_parts)
            if blocking is not None:
                self.context.metrics.count('quarantine_refusals')
                return self.plan.quarantined(blocking)
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

    def record_end(self, server: BackendServer, outcome: Outcome) -> None:
        """Record whether a server was lost under the request's prompt."""
        quarantine = self.context.quarantine
        match outcome:
            case Lost(broken=True, begun=begun):
                quarantine.lost(
                    self.prompt_parts,
                    server.incarnation,
                    server.availability_zone,
                    begun=begun,
                )
            case Finished():
                quarantine.completed(self.prompt_parts)
            case Answered(response=response) if (
                response.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                quarantine.completed(self.prompt_parts)

    async def _may_repeat(self) -> bool:
        if not self.plan.delivered:
            return True
        return await self.context.retries.take(
            self.service, in_progress=self.in_progress()
        )
