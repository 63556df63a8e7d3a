"""Entry point of forwarding."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Any

from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._calls import CallForwarding
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._plans import Done, Fail, PassOn
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.routing import (
    Idempotent,
    NonIdempotent,
    ResumableStream,
    SingleStream,
)

logger = logging.getLogger(__name__)


class Forwarder:
    """Forwards requests according to the policy of their route."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    async def serve(self, request: IncomingRequest, caller: Caller) -> None:
        """Forward a request and write the answer or an error to its caller."""
        version = self.context.configuration_cache.configuration.version
        request_log = RequestLog(request, version)
        service = self._pick_service(request)
        details: dict[str, Any] = {}
        match request.route.policy:
            case ResumableStream() | SingleStream():
                stream = StreamForwarding(
                    self.context,
                    request,
                    service,
                    request_log,
                    caller,
                )
                step = await stream.run()
                details = {**stream.details(), **stream.turns.details()}
            case Idempotent() | NonIdempotent():
                step = await CallForwarding(
                    self.context,
                    request,
                    service,
                    request_log,
                ).run()
        self._answer(step, caller)
        self._count(request, step)
        request_log.log_end(step, self.context.timers.now(), **details)

    def _count(
        self,
        request: IncomingRequest,
        step: PassOn | Fail | Done,
    ) -> None:
        self.context.metrics.count(
            'requests',
            policy=type(request.route.policy).__name__,
            status=str(int(step.status)),
        )

    def _answer(self, step: PassOn | Fail | Done, caller: Caller) -> None:
        match step:
            case PassOn():
                caller.leaving = step.leaving
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
                caller.fail(step.status, step.reason, step.retry_after_s)
            case Fail():
                caller.fail(step.status, step.reason)

    def _pick_service(self, request: IncomingRequest) -> str:
        parts = request.route.services
        if len(parts) == 1:
            return parts[0].service
        weights = [part.weight for part in parts]
        return self.context.random.choices(parts, weights)[0].service
