"""Timers as messages: a subscriber gets its message when the time has come."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

GRID_S = 0.05

Post = Callable[[Any], Any]


class Clock(Protocol):
    """Where times come from, in seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970, for people and other machines."""


@dataclass(slots=True)
class Subscription:
    """One pending or repeating timer; ``cancel`` ends it."""

    post: Post
    message: Any
    period_s: float | None
    handle: asyncio.TimerHandle | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Stop the timer; the message is not posted any more."""
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


class TimerService:
    """Posts messages at times, on the running event loop."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    def after(self, delay_s: float, post: Post, message: Any) -> Subscription:
        """Post ``message`` once, ``delay_s`` seconds from now."""
        return self._start(Subscription(post, message, None), delay_s)

    def every(self, period_s: float, post: Post, message: Any) -> Subscription:
        """Post ``message`` each ``period_s`` seconds until cancelled.

        Repeating timers fire on a common grid, so that one turn of the loop
        serves many: an idle host spends most of its time on waking up.
        """
        timer = Subscription(post, message, period_s)
        return self._start(timer, _to_grid(self.now(), period_s))

    def _start(self, timer: Subscription, delay_s: float) -> Subscription:
        loop = asyncio.get_running_loop()
        timer.handle = loop.call_later(delay_s, self._fire, timer)
        return timer

    def _fire(self, timer: Subscription) -> None:
        if timer.cancelled:
            return
        if timer.period_s is not None:
            self._start(timer, _to_grid(self.now(), timer.period_s))
        timer.post(timer.message)


def _to_grid(now: float, period_s: float) -> float:
    """Return the delay to the point of the grid nearest to a period away."""
    if period_s < GRID_S:
        return period_s
    return max(round((now + period_s) / GRID_S) * GRID_S - now, GRID_S / 2)
