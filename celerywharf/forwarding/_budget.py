"""The retry budget that all hosts share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Bounds what this host sends beyond the first send of each request.

    Each host keeps to the ratio of its own requests, so that no message
    between hosts is needed; the fixed part lets a host with few requests
    retry at all.  A stream under way may use a second fixed part: breaking it
    off loses all that its engine has done.
    """

    def __init__(self, ratio: float, fixed: int, window_s: float) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_s = window_s
        self.windows: dict[str, _Window] = {}

    def requested(self, service: str, now_s: float) -> None:
        """Count a request of a caller."""
        window = self._window(service, now_s)
        window.requests.append(now_s)

    def take(
        self,
        service: str,
        now_s: float,
        *,
        under_way: bool = False,
    ) -> bool:
        """Count a retry if there is budget for it.

        Args:
            service: what the request is for.
            now_s: monotonic seconds.
            under_way: the caller already has a part of the answer.
        """
        window = self._window(service, now_s)
        fixed = 2 * self.fixed if under_way else self.fixed
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
