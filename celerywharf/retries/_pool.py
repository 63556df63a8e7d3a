"""The retries that a zone's lender may lend."""

from __future__ import annotations

from celerywharf.retries._budget import RetryAccount, RetryClaim

# The rest of the fixed number is kept for streams in progress.
OTHERS_FRACTION = 0.5


class RetryPool:
    """Decides which retries the hosts of a zone may make beyond their own.

    Answers loads in which few hosts have most of the failures, or in which
    each of many hosts has too few requests for a single retry.

    Attributes:
        ratio: retries allowed per reported request.
        fixed: retries allowed in addition, for the whole zone.
        window_s: length of the sliding window.
        opens_at_s: until then only the ratio is lent, because another lender
            may have lent the fixed number within the window.
    """

    def __init__(
        self, ratio: float, fixed: float, window_s: float, opens_at_s: float
    ) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_s = window_s
        self.opens_at_s = opens_at_s
        self.accounts: dict[str, RetryAccount] = {}

    def lend(self, claim: RetryClaim, now_s: float) -> bool:
        """Count what a host reports and decide on its request."""
        account = self.accounts.get(claim.service)
        if account is None:
            account = RetryAccount(self.window_s)
            self.accounts[claim.service] = account
        account.requests.add_all(claim.requests, now_s)
        account.retries.add(claim.retries, now_s)
        return account.take(self.ratio, self._fixed_part(claim, now_s), now_s)

    def _fixed_part(self, claim: RetryClaim, now_s: float) -> float:
        if now_s < self.opens_at_s:
            return 0
        if claim.in_progress:
            return self.fixed
        return self.fixed * OTHERS_FRACTION
