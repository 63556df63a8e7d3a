"""Schedule of the membership tasks that run beside the probes."""

from __future__ import annotations

import enum
import math
from random import Random

# A host that knows no other host of its zone retries more often.
ISOLATED_PERIOD_FACTOR = 0.25
JITTER_FRACTION = 0.2


class PeriodicTask(enum.Enum):
    """A task that runs periodically.

    Attributes:
        introduce: request views from addresses with no known live host.
        refresh_sample: refresh the sample of another zone.
        synchronize: request the whole view of a host of the own zone.
        read_hints: read the platform's host list.
    """

    introduce = 'introduce'
    refresh_sample = 'refresh_sample'
    synchronize = 'synchronize'
    read_hints = 'read_hints'


PERIODS_S = {
    PeriodicTask.introduce: 2.0,
    PeriodicTask.refresh_sample: 1.0,
    PeriodicTask.synchronize: 10.0,
    PeriodicTask.read_hints: 2.0,
}


class Schedule:
    """Decides when periodic tasks run; jitter keeps hosts out of step."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.next_due_s = dict.fromkeys(PERIODS_S, -math.inf)

    def due(self, now: float, *, isolated: bool) -> list[PeriodicTask]:
        """Return the tasks to run now and schedule their next run.

        Periods are shorter while this host is ``isolated``.
        """
        factor = ISOLATED_PERIOD_FACTOR if isolated else 1
        due_tasks = [
            task
            for task, next_due_s in self.next_due_s.items()
            if now >= next_due_s
        ]
        for task in due_tasks:
            period_s = PERIODS_S[task] * factor
            jitter = 1 + self.rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            self.next_due_s[task] = now + period_s * jitter
        return due_tasks
