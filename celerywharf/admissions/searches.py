"""One demand's way from owner to owner until it is granted or refused."""

from __future__ import annotations

import math
from dataclasses import dataclass

from celerywharf.admissions.choices import Plan
from celerywharf.admissions.estimates import RETRY_AFTER_LEAST_S
from celerywharf.admissions.tickets import Refusal
from celerywharf.tables import BackendServer

QUICK_ASKS = 3
ASK_AGAIN_S = 0.1
REPEAT_LIMIT = 30
RETRY_AFTER_S = 1.0
TRANSIENT = frozenset((Refusal.not_owner, Refusal.unreachable))


@dataclass(frozen=True, slots=True)
class Ask:
    """Action: ask the owner of a backend server.

    Attributes:
        backend_server: for which a grant is wanted.
        may_wait: whether the wish may be queued.
        delay_s: seconds to wait before asking.
    """

    backend_server: BackendServer
    may_wait: bool
    delay_s: float = 0


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Action: refuse the demand.

    Attributes:
        reason: why.
        retry_after_s: when to come back.
    """

    reason: Refusal
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """Message: an owner refused, or did not answer (``unreachable``)."""

    backend_server: str
    reason: Refusal
    wait_s: float = math.inf
    retry_after_s: float = RETRY_AFTER_S


class Search:
    """Asks a few owners for a free slot, then queues where it is shortest.

    Another region is asked only when nothing nearer can give a grant before
    the deadline.
    """

    def __init__(self, plan: Plan, deadline_s: float) -> None:
        self.tiers = [tier for tier in (plan.near, plan.far) if tier]
        self.deadline_s = deadline_s
        self.asked: dict[str, Rejected] = {}
        self.queued: set[str] = set()
        self.repeats = 0

    def begin(self, now: float) -> Ask | GiveUp:
        """Say whom to ask first."""
        return self._next(now)

    def rejected(self, message: Rejected, now: float) -> Ask | GiveUp:
        """Take a refusal and say what to do next."""
        self.asked[message.backend_server] = message
        if message.reason is Refusal.not_owner:
            return self._again(now) or self._give_up()
        return self._next(now)

    def _next(self, now: float) -> Ask | GiveUp:
        for tier in self.tiers:
            action = self._quick(tier) or self._queue(tier, now)
            if action is not None:
                return action
        return self._again(now) or self._last() or self._give_up()

    def _quick(self, tier: tuple[BackendServer, ...]) -> Ask | None:
        fresh = [one for one in tier if one.name not in self.asked]
        asked = len(tier) - len(fresh)
        if not fresh or asked >= QUICK_ASKS:
            return None
        if len(tier) == 1:
            return self._ask_queued(fresh[0])
        return Ask(fresh[0], may_wait=False)

    def _queue(
        self,
        tier: tuple[BackendServer, ...],
        now: float,
    ) -> Ask | None:
        left_s = self.deadline_s - now
        hopeful = [
            one for one in self._unqueued(tier) if self._wait_s(one) <= left_s
        ]
        if not hopeful:
            return None
        return self._ask_queued(min(hopeful, key=self._wait_s))

    def _last(self) -> Ask | None:
        # The owner that will take it soonest says when to come back.
        if self.queued:
            return None
        for tier in self.tiers:
            left = [
                one
                for one in self._unqueued(tier)
                if math.isfinite(self._wait_s(one))
            ]
            if left:
                return self._ask_queued(min(left, key=self._wait_s))
        return None

    def _unqueued(self, tier: tuple[BackendServer, ...]) -> list[BackendServer]:
        return [one for one in tier if one.name not in self.queued]

    def _ask_queued(self, backend: BackendServer, delay_s: float = 0) -> Ask:
        self.queued.add(backend.name)
        return Ask(backend, may_wait=True, delay_s=delay_s)

    def _wait_s(self, backend: BackendServer) -> float:
        rejected = self.asked.get(backend.name)
        return math.inf if rejected is None else rejected.wait_s

    def _again(self, now: float) -> Ask | None:
        # Owners move and links break for moments; that is no refusal.
        if now + ASK_AGAIN_S >= self.deadline_s:
            return None
        if self.repeats >= REPEAT_LIMIT:
            return None
        for tier in self.tiers:
            for backend in tier:
                known = self.asked.get(backend.name)
                if known is not None and known.reason in TRANSIENT:
                    self.repeats += 1
                    return self._ask_queued(backend, ASK_AGAIN_S)
        return None

    def _give_up(self) -> GiveUp:
        rejections = list(self.asked.values())
        if not rejections:
            return GiveUp(Refusal.unreachable, RETRY_AFTER_S)
        reasons = {one.reason for one in rejections}
        reason = Refusal.overloaded
        if reasons == {Refusal.limit}:
            reason = Refusal.limit
        elif reasons <= {*TRANSIENT, Refusal.leaving}:
            reason = Refusal.unreachable
        final = [one for one in rejections if one.backend_server in self.queued]
        spans = [one.retry_after_s for one in final or rejections]
        return GiveUp(reason, max(min(spans), RETRY_AFTER_LEAST_S))
