"""Which requests of other hosts a host takes in."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from celerywharf.units import DOCUMENT_BYTES

MAX_REQUESTS = 512
MAX_BODY_BYTES = 2 * DOCUMENT_BYTES
# A loop this late delays the requests of the host's own callers.
MAX_LATENESS_S = 0.05
PERIOD_S = 0.1
PERIODS = 5


class RelayAdmission:
    """Refuses requests of other hosts before this host's own callers suffer.

    Answers the load of a host that serves many cut-off ones.  The measure is
    how late the event loop runs; nothing is measured without such requests.

    Attributes:
        requests: those in progress.
        body_bytes: size of their bodies.
        lateness_s: how late the loop was in the last periods.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.requests = 0
        self.body_bytes = 0
        self.lateness_s: deque[float] = deque(maxlen=PERIODS)
        self.timer: asyncio.TimerHandle | None = None

    def admits(self, body_bytes: int) -> bool:
        """Return whether one more request may be taken in."""
        return (
            self.requests < MAX_REQUESTS
            and self.body_bytes + body_bytes <= MAX_BODY_BYTES
            and max(self.lateness_s, default=0) < MAX_LATENESS_S
        )

    def started(self, body_bytes: int) -> None:
        """Count a request that has been taken in."""
        self.requests += 1
        self.body_bytes += body_bytes
        if self.timer is None:
            self._measure_later()

    def ended(self, body_bytes: int) -> None:
        """Count it no longer."""
        self.requests -= 1
        self.body_bytes -= body_bytes

    def record_lateness(self, lateness_s: float) -> None:
        """Record how late the event loop ran."""
        self.lateness_s.append(lateness_s)

    def _measure_later(self) -> None:
        loop = asyncio.get_running_loop()
        due_s = self.now() + PERIOD_S
        self.timer = loop.call_later(PERIOD_S, self._measure, due_s)

    def _measure(self, due_s: float) -> None:
        self.record_lateness(max(self.now() - due_s, 0))
        if self.requests or max(self.lateness_s) >= MAX_LATENESS_S:
            self._measure_later()
        else:
            self.timer = None
