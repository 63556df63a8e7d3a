"""A caller's request, read whole."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.platform import RequestHeaders
from celerywharf.routing import Route


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that a route allows.

    Attributes:
        method: HTTP method.
        target: path and query as the caller sent them.
        body: None when there is none.
        headers: what its headers say.
        route: where it goes.
        account: the client account, None on public routes.
        arrived_s: when its headers had been read, monotonic seconds.
    """

    method: str
    target: str
    body: bytes | None
    headers: RequestHeaders
    route: Route
    account: str | None
    arrived_s: float

    def ends_s(self) -> float:
        """Return when the caller has to have an answer."""
        allowed_s = self.route.timeout_s
        if self.headers.deadline_s is not None:
            allowed_s = min(allowed_s, self.headers.deadline_s)
        return self.arrived_s + allowed_s
