"""A completely received request of a caller."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.platform import RequestHeaders
from celerywharf.routing import Route


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that has been accepted for a route.

    Attributes:
        method: HTTP method.
        target: path and query as the caller sent them.
        body: None if there is none.
        headers: parsed headers.
        route: the matching route.
        account: the client account; None on public routes.
        arrived_s: when its headers had been read, monotonic seconds.
    """

    method: str
    target: str
    body: bytes | None
    headers: RequestHeaders
    route: Route
    account: str | None
    arrived_s: float

    def deadline_at_s(self) -> float:
        """Return when the caller must have its answer, monotonic seconds.

        The earlier of the route's time-out and the caller's own deadline.
        """
        allowed_s = self.route.timeout_s
        if self.headers.deadline_s is not None:
            allowed_s = min(allowed_s, self.headers.deadline_s)
        return self.arrived_s + allowed_s
