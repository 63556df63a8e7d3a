"""Takes a request from a caller to its answer."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Any

from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._calls import CallForwarding
from celerywharf.forwarding._context import Services
from celerywharf.forwarding._plans import Done, Fail, PassOn
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._stories import Story
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.routing import (
    Idempotent,
    NonIdempotent,
    ResumableStream,
    SingleStream,
)

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 0.3  # a host that just failed to place it finds room by then


class Forwarder:
    """Forwards requests by the policy of their route."""

    def __init__(self, services: Services) -> None:
        self.services = services

    async def serve(self, request: IncomingRequest, caller: Caller) -> None:
        """Serve one request until its caller has an answer or is gone."""
        version = self.services.knowledge.configuration.version
        story = Story(request, version)
        service = self._pick_service(request)
        details: dict[str, Any] = {}
        match request.route.policy:
            case ResumableStream() | SingleStream():
                stream = StreamForwarding(
                    self.services,
                    request,
                    service,
                    story,
                    caller,
                )
                step = await stream.run()
                details = stream.details()
            case Idempotent() | NonIdempotent():
                step = await CallForwarding(
                    self.services,
                    request,
                    service,
                    story,
                ).run()
        self._answer(step, caller)
        self._count(request, step)
        story.ended(step, self.services.timers.now(), **details)

    def _count(
        self,
        request: IncomingRequest,
        step: PassOn | Fail | Done,
    ) -> None:
        self.services.metrics.count(
            'requests',
            policy=type(request.route.policy).__name__,
            status=str(int(step.status)),
        )

    def _answer(self, step: PassOn | Fail | Done, caller: Caller) -> None:
        match step:
            case PassOn():
                caller.answer(
                    step.response.status,
                    step.headers.forwarded,
                    step.response.body,
                )
            case Done():
                caller.end()
            case Fail() if caller.started:
                caller.abort()
            case Fail(status=HTTPStatus.SERVICE_UNAVAILABLE):
                caller.fail(step.status, step.reason, RETRY_AFTER_S)
            case Fail():
                caller.fail(step.status, step.reason)

    def _pick_service(self, request: IncomingRequest) -> str:
        parts = request.route.services
        if len(parts) == 1:
            return parts[0].service
        weights = [part.weight for part in parts]
        return self.services.random.choices(parts, weights)[0].service
