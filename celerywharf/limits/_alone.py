"""Limits of a host that shares nothing with others."""

from __future__ import annotations

import time

from celerywharf.limits._lender import LimitLender
from celerywharf.limits._pool import Grant, LimitPool
from celerywharf.limits._statements import LimitStatement


class FixedShare(LimitLender):
    """Grants a fixed part of each limit, because other hosts are unknown.

    Attributes:
        pool: grants the part.
    """

    def __init__(self, fraction: float) -> None:
        self.pool = LimitPool(fraction)

    async def ask(
        self, statement: LimitStatement, *, in_progress: bool
    ) -> Grant:
        """Grant a request if the part allows it."""
        return self.pool.take(
            statement, time.monotonic(), in_progress=in_progress
        )

    def tell(self, statement: LimitStatement) -> None:
        """Do nothing: there is nobody to tell."""
