"""A completely received request of a caller."""

from __future__ import annotations

import functools
import hashlib
from dataclasses import dataclass

from celerywharf.peers import Relay
from celerywharf.platform import RequestHeaders
from celerywharf.quarantine import request_trait
from celerywharf.routing import Route

DIGEST_BYTES = 16


@dataclass(frozen=True)
class IncomingRequest:
    """A request that has been accepted for a route.

    Attributes:
        method: HTTP method.
        host: the Host header, in lower case and without the port.
        target: path and query as the caller sent them.
        body: None if there is none.
        headers: parsed headers.
        route: the matching route.
        account: the client account; None on public routes.
        arrived_s: when its headers had been read, monotonic seconds.
        relay: what the host that passed it on tells of it; None if it came
            from its caller.
    """

    method: str
    host: str
    target: str
    body: bytes | None
    headers: RequestHeaders
    route: Route
    account: str | None
    arrived_s: float
    relay: Relay | None = None

    @functools.cached_property
    def digest(self) -> str:
        """Return what the request has in common with its repetitions.

        Repetitions of a request have the same account, host, method, target
        and body, and differ in their ids and deadlines.
        """
        account = 'public' if self.account is None else f'of {self.account}'
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for text in (account, self.host, self.method, self.target):
            encoded = text.encode(errors='surrogatepass')
            digest.update(f'{len(encoded)}:'.encode() + encoded)
        digest.update(self.body or b'')
        return digest.hexdigest()

    @property
    def max_attempts(self) -> int:
        """Return how many sends of the request may run."""
        if self.relay is None:
            return self.route.max_attempts
        return min(self.route.max_attempts, self.relay.attempts)

    @property
    def traits(self) -> tuple[str, ...]:
        """Return what may crash backend servers about the request."""
        return (request_trait(self.digest), *self.headers.shared_parts)

    def given_up_at_s(self) -> float:
        """Return when its caller stops trying, monotonic seconds."""
        waits_s = self.headers.deadline_s
        if waits_s is None:
            waits_s = self.route.timeout_s
        return self.arrived_s + waits_s

    def deadline_at_s(self) -> float:
        """Return when the caller must have its answer, monotonic seconds.

        The earlier of the route's time-out and the caller's own deadline.
        """
        allowed_s = self.route.timeout_s
        if self.relay is not None:
            allowed_s = min(allowed_s, self.relay.timeout_s)
        if self.headers.deadline_s is not None:
            allowed_s = min(allowed_s, self.headers.deadline_s)
        return self.arrived_s + allowed_s
