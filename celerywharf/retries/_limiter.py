"""Decides on each retry of a host."""

from __future__ import annotations

from collections.abc import Callable

from celerywharf.retries._budget import RetryBudget
from celerywharf.retries._emergency import EmergencyShare
from celerywharf.retries._lender import RetryLender


class RetryLimiter:
    """Allows retries from this host's budget, then from its zone's lender.

    Attributes:
        budget: retries that this host may make by itself.
        lender: lends more; None if this host shares nothing with others.
        emergency: streams in progress that may be sent once more while the
            lender does not answer; None for none.
        now: returns monotonic seconds.
    """

    def __init__(
        self,
        budget: RetryBudget,
        now: Callable[[], float],
        lender: RetryLender | None = None,
        emergency: EmergencyShare | None = None,
    ) -> None:
        self.budget = budget
        self.now = now
        self.lender = lender
        self.emergency = emergency

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self.budget.record_request(service, self.now())

    async def take(self, service: str, *, in_progress: bool = False) -> bool:
        """Return whether one retry to a service is allowed.

        Args:
            service: name of the service.
            in_progress: whether the caller already has a part of the answer.
        """
        if self.budget.take(service, self.now(), in_progress=in_progress):
            return True
        if self.lender is None:
            return False
        claim = self.budget.claim(service, self.now(), in_progress=in_progress)
        lent = await self.lender.borrow(claim)
        if lent is not None:
            return lent
        self.budget.restore(claim, self.now())
        if self.emergency is None or not in_progress:
            return False
        return self.emergency.take(self.now())
