"""Estimates of queue waits and of times to retry refused requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

SMOOTHING_FACTOR = 0.1
SPREAD_DEVIATIONS = 2.0  # standard deviations around the expected wait
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
# Those who are refused together return at different times.
RETRY_SPREAD = 1.0
LEFT_TIME_PARTS = 3


@dataclass(slots=True)
class DrainRate:
    """Moving average of how long requests hold a slot.

    Attributes:
        mean_held_s: smoothed seconds; 0 until the first request has ended.
    """

    mean_held_s: float = 0

    def record_hold(self, held_s: float) -> None:
        """Add the time that a request held its slot to the average."""
        if not self.mean_held_s:
            self.mean_held_s = held_s
        self.mean_held_s += SMOOTHING_FACTOR * (held_s - self.mean_held_s)

    def wait_s(self, ahead: int, slots: float) -> float:
        """Estimate the wait behind ``ahead`` requests for ``slots`` slots."""
        return (ahead + 1) * self.mean_held_s / max(slots, 1)

    def requests_per_s(self, slots: float) -> float:
        """Return the requests that end in a second on ``slots`` slots.

        It is 1 until the first request has ended.
        """
        return max(slots, 1) / self.mean_held_s if self.mean_held_s else 1

    def wait_upper_bound_s(self, ahead: int, slots: float) -> float:
        """Estimate a wait that few requests exceed.

        Requests end at random times, so the spread grows with the square root
        of the number of requests that must end first.
        """
        return self.wait_s(ahead, slots) + self._spread_s(ahead, slots)

    def wait_lower_bound_s(self, ahead: int, slots: float) -> float:
        """Estimate a wait that few requests fall below."""
        return self.wait_s(ahead, slots) - self._spread_s(ahead, slots)

    def _spread_s(self, ahead: int, slots: float) -> float:
        return (
            SPREAD_DEVIATIONS
            * math.sqrt(ahead + 1)
            * self.mean_held_s
            / max(slots, 1)
        )


@dataclass(slots=True)
class RetrySchedule:
    """Spreads the retries of refused requests over time.

    Each client account has its own schedule, so that a flood from one does
    not delay the retries of another.

    Attributes:
        outstanding: refused requests whose retry is not due yet.
        updated_s: when ``outstanding`` was last updated.
    """

    outstanding: float = 0
    updated_s: float = 0

    def retry_after_s(
        self, overdue_s: float, requests_per_s: float, now: float
    ) -> float:
        """Return the seconds until a retry, later for each further caller.

        Args:
            overdue_s: by how much the deadline would be missed now.
            requests_per_s: requests of the account that end in a second.
            now: monotonic seconds.
        """
        elapsed_s = now - self.updated_s
        self.outstanding = (
            max(0, self.outstanding - elapsed_s * requests_per_s) + 1
        )
        self.updated_s = now
        due_s = overdue_s + self.outstanding / requests_per_s
        return min(max(due_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)


def spread_retry_after_s(
    expected_s: float, left_s: float, random: Random
) -> float:
    """Return the seconds until a retry, different for those refused together.

    Args:
        expected_s: when a retry is expected to find room.
        left_s: how long the caller goes on to wait; at most a third of it is
            spent before the retry.
        random: source of the spread.
    """
    latest_s = max(left_s, 0) / LEFT_TIME_PARTS
    earliest_s = min(expected_s, latest_s / (1 + RETRY_SPREAD))
    return earliest_s * (1 + RETRY_SPREAD * random.random())
