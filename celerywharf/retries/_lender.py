"""Interface to the lender of retries of a zone."""

from __future__ import annotations

import abc

from celerywharf.retries._budget import RetryClaim


class RetryLender(abc.ABC):
    """Lends retries beyond the ratio of a host's own requests."""

    @abc.abstractmethod
    async def borrow(self, claim: RetryClaim) -> bool | None:
        """Ask for one retry.

        Args:
            claim: what the host has counted; a lender that was asked counts
                it from now on.

        Returns:
            Whether the retry is lent; None if there is no lender to ask.
        """
