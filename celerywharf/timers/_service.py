"""Timer service: posts a message when a timer expires."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

# Repeating timers expire at multiples of this on the monotonic clock.
TICK_S = 0.05

Post = Callable[[Any], Any]


class Clock(Protocol):
    """Source of monotonic and wall clock times."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970, for people and other machines."""


@dataclass(slots=True)
class Timer:
    """A pending timer; ``cancel`` ends it.

    Attributes:
        post: called with ``message`` when the timer expires.
        message: the message to be posted.
        period_s: seconds between posts, None for a single post.
        handle: the scheduled call of the event loop.
        cancelled: True after ``cancel``.
    """

    post: Post
    message: Any
    period_s: float | None
    handle: asyncio.TimerHandle | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the timer; the message is not posted again."""
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


class TimerService:
    """Posts messages after delays, on the running event loop."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    def after(self, delay_s: float, post: Post, message: Any) -> Timer:
        """Post ``message`` once, ``delay_s`` seconds from now."""
        return self._start(Timer(post, message, None), delay_s)

    def every(self, period_s: float, post: Post, message: Any) -> Timer:
        """Post ``message`` every ``period_s`` seconds until cancelled.

        Periods of at least ``TICK_S`` are aligned to multiples of it, so that
        many timers expire in the same iteration of the event loop.  An idle
        host spends most of its CPU time on wake-ups.
        """
        timer = Timer(post, message, period_s)
        return self._start(timer, _aligned_delay_s(self.now(), period_s))

    def _start(self, timer: Timer, delay_s: float) -> Timer:
        loop = asyncio.get_running_loop()
        timer.handle = loop.call_later(delay_s, self._fire, timer)
        return timer

    def _fire(self, timer: Timer) -> None:
        if timer.cancelled:
            return
        if timer.period_s is not None:
            self._start(timer, _aligned_delay_s(self.now(), timer.period_s))
        timer.post(timer.message)


def _aligned_delay_s(now: float, period_s: float) -> float:
    """Return the delay to the tick nearest to one period from now.

    A period below ``TICK_S`` is returned as it is.
    """
    if period_s < TICK_S:
        return period_s
    return max(round((now + period_s) / TICK_S) * TICK_S - now, TICK_S / 2)
