"""Keeps the sends of a host within the limits that servers state."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from celerywharf.limits._lender import LimitLender
from celerywharf.limits._statements import LimitStatement, StatedLimits

logger = logging.getLogger(__name__)

MAX_WAITS = 1024
MAX_PAUSES = 12_000  # servers of a system of the planned size
# Hosts that were refused together return at different times.
PAUSE_SPREAD = 0.2


@dataclass(frozen=True, slots=True)
class Clocks:
    """Clocks of a host.

    Attributes:
        now: returns monotonic seconds.
        store_time_s: returns the time on the store's clock, seconds.
    """

    now: Callable[[], float]
    store_time_s: Callable[[], float]


class ServerLimiter:
    """Decides whether a request may be sent to a server now.

    Attributes:
        stated: what servers have stated.
        lender: grants requests; None grants all.
        clocks: clocks of this host.
        random: spreads the ends of pauses.
        waits: until when a server was refused, by incarnation, monotonic
            seconds.
        pauses: until when a server wants nothing, likewise.
    """

    def __init__(
        self,
        stated: StatedLimits,
        lender: LimitLender | None,
        clocks: Clocks,
        random: Random | None = None,
    ) -> None:
        self.random = random or Random()
        self.stated = stated
        self.lender = lender
        self.clocks = clocks
        self.waits: dict[str, float] = {}
        self.pauses: dict[str, float] = {}

    def is_limited(self, incarnation: str) -> bool:
        """Return whether a server must get no request that can be spared."""
        if self.is_paused(incarnation):
            return True
        return self._statement(incarnation) is not None

    def wait_s(self, incarnation: str) -> float:
        """Return how long not to send to a server; 0 if it may be tried."""
        until_s = max(
            self.waits.get(incarnation, 0), self.pauses.get(incarnation, 0)
        )
        return max(until_s - self.clocks.now(), 0)

    def record_answer(
        self,
        incarnation: str,
        availability_zone: str,
        per_s: float | None,
        sent_s: float,
    ) -> None:
        """Record what an answer says of its server's limit.

        Args:
            incarnation: the incarnation of the server.
            availability_zone: zone of the server.
            per_s: the stated limit; None if there is none.
            sent_s: when the request was sent, monotonic seconds.
        """
        if per_s is None and incarnation not in self.stated.statements:
            return
        store_time_s = self.clocks.store_time_s()
        statement = LimitStatement(
            incarnation, availability_zone, per_s, store_time_s
        )
        age_s = self.clocks.now() - sent_s
        recorded = self.stated.record_answer(statement, store_time_s - age_s)
        if recorded and self.lender is not None:
            self.lender.tell(statement)

    def pause(self, incarnation: str, pause_s: float) -> None:
        """Record that a server wants nothing from this host for a while.

        A shorter pause does not end a longer one: refusals of several requests
        may arrive in any order.

        Args:
            incarnation: the incarnation of the server.
            pause_s: for how long, seconds.
        """
        now_s = self.clocks.now()
        spread = 1 + PAUSE_SPREAD * self.random.random()
        until_s = now_s + pause_s * spread
        logger.info(
            'pause requested',
            extra={
                'backend_server': incarnation,
                'pause_s': pause_s,
                'known_s': round(self.wait_s(incarnation), 3),
            },
        )
        self.pauses[incarnation] = max(
            until_s, self.pauses.get(incarnation, until_s)
        )
        if len(self.pauses) > MAX_PAUSES:
            self._make_room(now_s)

    def is_paused(self, incarnation: str) -> bool:
        """Return whether a server wants nothing from this host now."""
        return self.pauses.get(incarnation, 0) > self.clocks.now()

    async def acquire(
        self, incarnation: str, *, in_progress: bool = False
    ) -> bool:
        """Return whether a request may be sent to a server now.

        Args:
            incarnation: the incarnation of the server.
            in_progress: whether the caller already has a part of the answer.
        """
        if self.is_paused(incarnation):
            return False
        statement = self._statement(incarnation)
        if statement is None or self.lender is None:
            return True
        if self.wait_s(incarnation) > 0 and not in_progress:
            return False
        grant = await self.lender.ask(statement, in_progress=in_progress)
        if not grant.granted:
            self._wait(incarnation, grant.wait_s)
        # The server may have asked for a pause in the meantime.
        return grant.granted and not self.is_paused(incarnation)

    def _statement(self, incarnation: str) -> LimitStatement | None:
        if not self.stated.statements:
            return None
        return self.stated.limit(incarnation, self.clocks.store_time_s())

    def _wait(self, incarnation: str, wait_s: float) -> None:
        self.waits.pop(incarnation, None)
        self.waits[incarnation] = self.clocks.now() + wait_s
        if len(self.waits) > MAX_WAITS:
            self.waits.pop(next(iter(self.waits)))

    def _make_room(self, now_s: float) -> None:
        """Forget pauses that have ended, else those that end first."""
        ended = [
            incarnation
            for incarnation, until_s in self.pauses.items()
            if until_s <= now_s
        ]
        for incarnation in ended or heapq.nsmallest(
            MAX_PAUSES // 8, self.pauses, key=self.pauses.get
        ):
            self.pauses.pop(incarnation)
