"""When the slow duties of membership are due."""

from __future__ import annotations

import enum
import math
from random import Random

ALONE_FACTOR = 0.25
JITTER = 0.2


class Duty(enum.Enum):
    """Something done from time to time beside the probes."""

    introduce = 'introduce'
    refresh_sample = 'refresh_sample'
    synchronize = 'synchronize'
    read_hints = 'read_hints'


PERIODS_S = {
    Duty.introduce: 2.0,
    Duty.refresh_sample: 1.0,
    Duty.synchronize: 10.0,
    Duty.read_hints: 2.0,
}


class Schedule:
    """Spreads the duties over time, with jitter between hosts."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.due_s = dict.fromkeys(PERIODS_S, -math.inf)

    def due(self, now: float, *, alone: bool) -> list[Duty]:
        """Return what is due; a host that knows no other asks sooner."""
        factor = ALONE_FACTOR if alone else 1
        ready = [duty for duty, due_s in self.due_s.items() if now >= due_s]
        for duty in ready:
            period_s = PERIODS_S[duty] * factor
            jitter = 1 + self.rng.uniform(-JITTER, JITTER)
            self.due_s[duty] = now + period_s * jitter
        return ready
