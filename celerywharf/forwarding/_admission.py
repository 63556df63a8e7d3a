"""Tells engines how to admit a request."""

from __future__ import annotations

from celerywharf.backends import BackendServer
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.platform import EngineAdmission


def engine_admission(
    context: ForwardingContext,
    request: IncomingRequest,
    server: BackendServer,
    lease: str = '',
) -> EngineAdmission:
    """Return what an engine is told about the admission of a request.

    No urgency is stated to plain applications, nor if all requests are equally
    urgent.

    Args:
        context: components of the host.
        request: the caller's request.
        server: where it is sent.
        lease: name of the lease of room for it; empty if there is none.
    """
    configuration = context.configuration_cache.configuration
    service = configuration.services.get(server.service)
    if service is None or service.memory is None:
        return EngineAdmission(lease=lease)
    urgencies = configuration.urgencies
    priority = urgencies.priority(request.route, request.account)
    urgency = urgencies.urgency(server.service, priority)
    if urgency is not None:
        context.metrics.count(
            'stated_urgencies', service=server.service, urgency=str(urgency)
        )
    return EngineAdmission(urgency, lease)
