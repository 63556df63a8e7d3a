"""Limits how much of the event loop's time is used by endless answers.

They cost time in any form: many small pieces, lines or events, or framing
without content.  The time that it takes to read them is what all forms have in
common.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

# What each answer may use by itself: a burst, and a share of the time.  A
# stream of 200 events a second uses about as much.
OWN_BURST_S = 0.001
OWN_SHARE = 0.01
# What all answers that use more may use together.  The burst lets an answer of
# the largest size through at the speed of the link.
COMMON_BURST_S = 0.1
COMMON_SHARE = 0.25
# How long a reading may wait for the processor.  A process that waits longer
# was stopped, which is not the fault of the answer.
MAX_WAITING_S = 0.005


@dataclass(slots=True)
class Usage:
    """Time that an answer has used beyond its share.

    Attributes:
        used_s: seconds.
        updated_s: when ``used_s`` was true, on the performance counter.
    """

    used_s: float = 0
    updated_s: float = 0


class ReadBudget:
    """Measures the time that reading takes and decides who has to wait.

    Answers are read one after the other, so the time since the last one was
    charged is that of the next.

    Attributes:
        began_s: when curl was called, on the performance counter.
        charged_s: when an answer was last charged or curl was called.
        processor_s: processor time of the thread at ``charged_s``, seconds.
        common_s: seconds that are left of what all may use together; negative
            after too much was used.
        refilled_s: when ``common_s`` was true, on the performance counter.
    """

    def __init__(self) -> None:
        self.began_s: float = 0
        self.charged_s: float = 0
        self.processor_s: float = 0
        self.common_s = COMMON_BURST_S
        self.refilled_s: float = 0

    def begin(self) -> None:
        """Start to measure the first answer that is read."""
        self.began_s = time.perf_counter()
        self.charged_s = self.began_s
        self.processor_s = time.thread_time()

    def since_begin_s(self) -> float:
        """Return for how long curl has been running."""
        return time.perf_counter() - self.began_s

    def charge(self, usage: Usage) -> bool:
        """Charge an answer; return whether it has used up its own time."""
        now_s = time.perf_counter()
        granted_s = (now_s - usage.updated_s) * OWN_SHARE
        usage.used_s = max(usage.used_s - granted_s, 0)
        usage.updated_s = now_s
        usage.used_s += self._reading_s(now_s)
        return usage.used_s > OWN_BURST_S

    def settle(self, usage: Usage) -> float:
        """Take what an answer has used from the common time.

        Returns:
            How long the answer must not be read, seconds.
        """
        now_s = time.perf_counter()
        refill_s = (now_s - self.refilled_s) * COMMON_SHARE
        self.common_s = min(self.common_s + refill_s, COMMON_BURST_S)
        self.refilled_s = now_s
        self.common_s -= usage.used_s
        usage.used_s = 0
        return max(-self.common_s / COMMON_SHARE, 0)

    def _reading_s(self, now_s: float) -> float:
        """Return how long the last reading took; start to measure the next."""
        processor_s = time.thread_time()
        used_s = processor_s - self.processor_s
        reading_s = min(now_s - self.charged_s, used_s + MAX_WAITING_S)
        self.charged_s = now_s
        self.processor_s = processor_s
        return reading_s
