"""Timers as messages: a subscriber gets its message when the time has come."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

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
        """Post ``message`` each ``period_s`` seconds until cancelled."""
        return self._start(Subscription(post, message, period_s), period_s)

    def _start(self, timer: Subscription, delay_s: float) -> Subscription:
        loop = asyncio.get_running_loop()
        timer.handle = loop.call_later(delay_s, self._fire, timer)
        return timer

    def _fire(self, timer: Subscription) -> None:
        if timer.cancelled:
            return
        if timer.period_s is not None:
            self._start(timer, timer.period_s)
        timer.post(timer.message)
