"""Retry budget of one host."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.retries._windows import SlidingCount


@dataclass(frozen=True, slots=True)
class RetryClaim:
    """A request for one retry, with the counts that go with it.

    Attributes:
        service: name of the service.
        requests: requests of callers that the host has counted, by age; see
            ``SlidingCount.take_all``.
        retries: retries that the host has allowed by itself.
        in_progress: whether a caller already has a part of the answer.
    """

    service: str
    requests: tuple[int, ...]
    retries: int
    in_progress: bool


class RetryAccount:
    """Requests and retries of one service within a window.

    Requests are rounded down and retries up, so that the budget holds in every
    window.
    """

    def __init__(self, window_s: float) -> None:
        self.requests = SlidingCount(window_s, generous=False)
        self.retries = SlidingCount(window_s, generous=True)

    def take(self, ratio: float, fixed: float, now_s: float) -> bool:
        """Count one retry if the ratio and the fixed number allow it."""
        allowed = fixed + ratio * self.requests.total(now_s)
        if self.retries.total(now_s) + 1 > allowed:
            return False
        self.retries.add(1, now_s)
        return True


class RetryBudget:
    """Limits the retries of this host, per service.

    A stream in progress may use the fixed number once more, because aborting
    it loses all the work its engine has done.

    Attributes:
        ratio: retries allowed per request.
        fixed: retries allowed regardless of the number of requests.
        window_s: length of the sliding window in which both are counted.
    """

    def __init__(self, ratio: float, fixed: int, window_s: float) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_s = window_s
        self.accounts: dict[str, RetryAccount] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._account(service).requests.add(1, now_s)

    def take(
        self,
        service: str,
        now_s: float,
        *,
        in_progress: bool = False,
    ) -> bool:
        """Take one retry from the budget of a service.

        Args:
            service: name of the service.
            now_s: monotonic seconds.
            in_progress: whether the caller already has a part of the answer.

        Returns:
            Whether the retry is allowed.
        """
        fixed = 2 * self.fixed if in_progress else self.fixed
        return self._account(service).take(self.ratio, fixed, now_s)

    def claim(
        self, service: str, now_s: float, *, in_progress: bool
    ) -> RetryClaim:
        """Hand over the counts of a service with a request for one retry."""
        account = self._account(service)
        return RetryClaim(
            service,
            account.requests.take_all(now_s),
            sum(account.retries.take_all(now_s)),
            in_progress,
        )

    def restore(self, claim: RetryClaim, now_s: float) -> None:
        """Take back the counts of a claim that reached no lender."""
        account = self._account(claim.service)
        account.requests.add_all(claim.requests, now_s)
        account.retries.add(claim.retries, now_s)

    def _account(self, service: str) -> RetryAccount:
        account = self.accounts.get(service)
        if account is None:
            account = RetryAccount(self.window_s)
            self.accounts[service] = account
        return account
