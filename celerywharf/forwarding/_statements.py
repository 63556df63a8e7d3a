"""Records what backend servers say of themselves in the heads of answers."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from celerywharf.adapters.transports import HttpResponse
from celerywharf.backends import BackendServer, ServerHealth
from celerywharf.limits import ServerLimiter
from celerywharf.platform import AnswerHeaders, read_answer_headers

# Statuses with which a server turns requests away.
OVERLOADED_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


def record_availability(
    health: ServerHealth,
    limits: ServerLimiter,
    server: BackendServer,
    status: int,
    headers: AnswerHeaders,
) -> None:
    """Record that a server leaves, or wants nothing for a while.

    This counts as soon as the head of an answer has arrived, whatever becomes
    of the answer: it may be broken off, or be no answer to the request.

    Args:
        health: health of the backend servers.
        limits: limits and pauses of the backend servers.
        server: the backend server that the request was sent to.
        status: HTTP status of the answer.
        headers: headers of the answer.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return  # another server answers at the address
    if headers.leaving:
        health.leaving(server.incarnation)
    refused = headers.not_run or status in OVERLOADED_STATUSES
    if refused and headers.pause_s is not None:
        limits.pause(server.incarnation, headers.pause_s)


class HeadRecorder:
    """Records the head of an answer as soon as it has arrived.

    Attributes:
        head: the answer without its body; None before the head has arrived.
    """

    def __init__(
        self,
        health: ServerHealth,
        limits: ServerLimiter,
        server: BackendServer,
    ) -> None:
        self.health = health
        self.limits = limits
        self.server = server
        self.head: HttpResponse | None = None

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Record what the server says of its availability."""
        self.head = HttpResponse(status, headers, b'')
        parsed = read_answer_headers(headers)
        record_availability(
            self.health, self.limits, self.server, status, parsed
        )
