"""Decides which owners to request a grant from, and when to give up."""

from __future__ import annotations

import math
from dataclasses import dataclass

from celerywharf.admissions.selection import Candidates
from celerywharf.admissions.tickets import Refusal
from celerywharf.tables import BackendServer
from celerywharf.waiting import RETRY_AFTER_MIN_S

IMMEDIATE_REQUEST_LIMIT = 3  # in a region, before the request is queued
RETRY_DELAY_S = 0.1
RETRY_LIMIT = 30  # requests sent again after transient refusals
RETRY_AFTER_S = 1.0
TRANSIENT_REFUSALS = frozenset((Refusal.not_owner, Refusal.unreachable))


@dataclass(frozen=True, slots=True)
class RequestGrant:
    """Action: request a grant from the owner of a backend server.

    Attributes:
        backend_server: the backend server that the grant is for.
        may_wait: whether the owner may queue the request.
        delay_s: seconds to wait before sending the request.
    """

    backend_server: BackendServer
    may_wait: bool
    delay_s: float = 0


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Action: refuse the demand.

    Attributes:
        reason: why no grant could be obtained.
        retry_after_s: seconds after which the caller may retry.
    """

    reason: Refusal
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """Message: an owner refused, or did not answer (``unreachable``).

    Attributes:
        backend_server: its name.
        reason: why.
        wait_s: estimated wait for a grant; infinite if unknown.
        retry_after_s: seconds after which a retry may be granted.
    """

    backend_server: str
    reason: Refusal
    wait_s: float = math.inf
    retry_after_s: float = RETRY_AFTER_S


class Search:
    """The search of one demand for a grant.

    A few owners are asked for a free slot, then the request is queued where
    the estimated wait is shortest.  Other regions are tried only if this
    region cannot give a grant before the deadline.

    Attributes:
        rejections: the last rejection by backend server.
        queued: backend servers whose owner was allowed to queue the request.
        retries: requests sent again after transient refusals.
    """

    def __init__(self, candidates: Candidates, deadline_s: float) -> None:
        self.tiers = [
            tier
            for tier in (candidates.same_region, candidates.other_regions)
            if tier
        ]
        self.deadline_s = deadline_s
        self.rejections: dict[str, Rejected] = {}
        self.queued: set[str] = set()
        self.retries = 0

    def start(self, now: float) -> RequestGrant | GiveUp:
        """Return the first action."""
        return self._next_action(now)

    def rejected(self, message: Rejected, now: float) -> RequestGrant | GiveUp:
        """Apply a refusal and return the next action."""
        self.rejections[message.backend_server] = message
        if message.reason is Refusal.not_owner:
            return self._retry_transient(now) or self._give_up()
        return self._next_action(now)

    def _next_action(self, now: float) -> RequestGrant | GiveUp:
        for tier in self.tiers:
            action = self._request_immediate(
                tier
            ) or self._request_shortest_wait(tier, now)
            if action is not None:
                return action
        return (
            self._retry_transient(now)
            or self._request_retry_time()
            or self._give_up()
        )

    def _request_immediate(
        self, tier: tuple[BackendServer, ...]
    ) -> RequestGrant | None:
        untried = [
            backend for backend in tier if backend.name not in self.rejections
        ]
        tried_count = len(tier) - len(untried)
        if not untried or tried_count >= IMMEDIATE_REQUEST_LIMIT:
            return None
        if len(tier) == 1:
            return self._request_queued(untried[0])
        return RequestGrant(untried[0], may_wait=False)

    def _request_shortest_wait(
        self,
        tier: tuple[BackendServer, ...],
        now: float,
    ) -> RequestGrant | None:
        remaining_s = self.deadline_s - now
        in_time = [
            backend
            for backend in self._unqueued(tier)
            if self._wait_s(backend) <= remaining_s
        ]
        if not in_time:
            return None
        return self._request_queued(min(in_time, key=self._wait_s))

    def _request_retry_time(self) -> RequestGrant | None:
        # The owner with the shortest wait refuses with a time to retry.
        if self.queued:
            return None
        for tier in self.tiers:
            finite = [
                backend
                for backend in self._unqueued(tier)
                if math.isfinite(self._wait_s(backend))
            ]
            if finite:
                return self._request_queued(min(finite, key=self._wait_s))
        return None

    def _unqueued(self, tier: tuple[BackendServer, ...]) -> list[BackendServer]:
        return [backend for backend in tier if backend.name not in self.queued]

    def _request_queued(
        self, backend: BackendServer, delay_s: float = 0
    ) -> RequestGrant:
        self.queued.add(backend.name)
        return RequestGrant(backend, may_wait=True, delay_s=delay_s)

    def _wait_s(self, backend: BackendServer) -> float:
        rejection = self.rejections.get(backend.name)
        return math.inf if rejection is None else rejection.wait_s

    def _retry_transient(self, now: float) -> RequestGrant | None:
        # Ownership changes and broken links are short; the request is sent
        # again instead of being refused.
        if now + RETRY_DELAY_S >= self.deadline_s:
            return None
        if self.retries >= RETRY_LIMIT:
            return None
        for tier in self.tiers:
            for backend in tier:
                rejection = self.rejections.get(backend.name)
                if (
                    rejection is not None
                    and rejection.reason in TRANSIENT_REFUSALS
                ):
                    self.retries += 1
                    return self._request_queued(backend, RETRY_DELAY_S)
        return None

    def _give_up(self) -> GiveUp:
        rejections = list(self.rejections.values())
        if not rejections:
            return GiveUp(Refusal.unreachable, RETRY_AFTER_S)
        reasons = {rejection.reason for rejection in rejections}
        reason = Refusal.overloaded
        if reasons == {Refusal.limit}:
            reason = Refusal.limit
        elif reasons <= {*TRANSIENT_REFUSALS, Refusal.leaving}:
            reason = Refusal.unreachable
        final = [
            rejection
            for rejection in rejections
            if rejection.backend_server in self.queued
        ]
        delays_s = [
            rejection.retry_after_s for rejection in final or rejections
        ]
        return GiveUp(reason, max(min(delays_s), RETRY_AFTER_MIN_S))
