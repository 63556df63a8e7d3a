"""Decides on each retry of a host."""

from __future__ import annotations

from collections.abc import Callable

from celerywharf.retries._budget import RetryBudget
from celerywharf.retries._host_share import HostShare
from celerywharf.retries._lender import RetryLender


class RetryLimiter:
    """Allows retries from this host's budget, its zone's lender, its share.

    Attributes:
        budget: retries that this host may make by itself.
        lender: lends more; None if this host shares nothing with others.
        share: this host's part of retries that no lender lends; None for
            none.
        now: returns monotonic seconds.
    """

    def __init__(
        self,
        budget: RetryBudget,
        now: Callable[[], float],
        lender: RetryLender | None = None,
        share: HostShare | None = None,
    ) -> None:
        self.budget = budget
        self.now = now
        self.lender = lender
        self.share = share

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
        if lent:
            return True
        if lent is None:
            self.budget.restore(claim, self.now())
        return self.share is not None and self.share.take(
            self.now(), in_progress=in_progress
        )
