"""Retry budget of this host."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Limits the retries of this host, per service.

    Each host applies the ratio to its own requests, so the hosts need not
    coordinate.  The fixed number of retries allows a host with few requests to
    retry at all.  A stream in progress may use the same number once more,
    because aborting it loses all the work its engine has done.

    Attributes:
        ratio: retries allowed per request.
        fixed: retries allowed regardless of the number of requests.
        window_s: length of the sliding window in which both are counted.
    """

    def __init__(self, ratio: float, fixed: int, window_s: float) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_s = window_s
        self.windows: dict[str, _Window] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        window = self._window(service, now_s)
        window.requests.append(now_s)

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
        window = self._window(service, now_s)
        fixed = 2 * self.fixed if in_progress else self.fixed
        allowed = fixed + self.ratio * len(window.requests)
        if len(window.retries) >= allowed:
            return False
        window.retries.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _Window:
        window = self.windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] < now_s - self.window_s:
                times.popleft()
        return window
