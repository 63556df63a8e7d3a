"""Counts over a sliding window of time."""

from __future__ import annotations

from collections.abc import Sequence

BUCKETS = 20  # per window


class SlidingCount:
    """Number of things that happened within a window.

    Times are rounded to buckets.  ``generous`` decides in which direction: a
    generous count includes all of the window and up to a bucket more, the
    other kind leaves out up to a bucket.

    Attributes:
        bucket_s: length of a bucket.
        buckets: counts by number of the bucket.
    """

    def __init__(self, window_s: float, *, generous: bool) -> None:
        self.bucket_s = window_s / BUCKETS
        self.generous = generous
        self.buckets: dict[int, int] = {}

    def add(self, count: int, at_s: float) -> None:
        """Count things that happened at a time; zero changes nothing."""
        if count:
            bucket = int(at_s // self.bucket_s)
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count

    def total(self, now_s: float) -> int:
        """Return the count within the window that ends now."""
        now_bucket = int(now_s // self.bucket_s)
        oldest = now_bucket - BUCKETS
        if not self.generous:
            oldest += 1
        expired = tuple(each for each in self.buckets if each < oldest)
        for bucket in expired:
            self.buckets.pop(bucket)
        return sum(self.buckets.values())

    def take_all(self, now_s: float) -> tuple[int, ...]:
        """Return the counts by age and start from zero.

        Returns:
            The count of each age, in buckets; the youngest first.
        """
        self.total(now_s)
        now_bucket = int(now_s // self.bucket_s)
        counts = tuple(
            self.buckets.get(now_bucket - age, 0) for age in range(BUCKETS)
        )
        self.buckets.clear()
        return counts

    def add_all(self, counts: Sequence[int], now_s: float) -> None:
        """Count what ``take_all`` of another count returned."""
        for age, count in enumerate(counts[:BUCKETS]):
            # The other clock is elsewhere within its bucket.
            self.add(max(count, 0), now_s - (age + 1) * self.bucket_s)
