"""Grants requests to servers within the limits that these state."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.limits._statements import LimitStatement

BURST = 2.0
# By how much streams in progress may run ahead of the limit.
PROGRESS_DEBT = 2.0
# A server that takes nothing is asked again now and then: only its answers end
# its limit.
MIN_RATE_PER_S = 0.1
MAX_WAIT_S = 1.0
MAX_BUCKETS = 12_000  # servers of a system of the planned size


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to the question whether a request may be sent to a server.

    Attributes:
        granted: it may.
        wait_s: if not, when to ask again, in seconds from now.
    """

    granted: bool
    wait_s: float = 0


@dataclass(slots=True)
class _Bucket:
    """Tokens of one server.

    Attributes:
        tokens: requests that may be sent now.
        at_s: when the tokens were last computed.
        waiting: refused requests that are expected to ask again.
    """

    tokens: float
    at_s: float
    waiting: float = 0


class LimitPool:
    """Grants the requests of all hosts that ask it, by token buckets.

    Answers loads above the limit from any number of hosts: those who are
    refused are told different times at which to ask again.

    Attributes:
        fraction: part of each limit that this pool may grant.
        buckets: by incarnation; the most recently used last.
    """

    def __init__(self, fraction: float = 1.0) -> None:
        self.fraction = fraction
        self.buckets: dict[str, _Bucket] = {}

    def take(
        self,
        statement: LimitStatement,
        now_s: float,
        *,
        in_progress: bool = False,
    ) -> Grant:
        """Take one request out of a server's limit.

        Args:
            statement: what the server has stated; it has a limit.
            now_s: monotonic seconds.
            in_progress: whether the caller already has a part of the answer.
        """
        rate_per_s = max(statement.per_s, MIN_RATE_PER_S) * self.fraction
        bucket = self._bucket(statement.incarnation, now_s)
        elapsed_s = max(now_s - bucket.at_s, 0)
        refill = elapsed_s * rate_per_s
        bucket.tokens = min(bucket.tokens + refill, BURST)
        bucket.waiting = max(bucket.waiting - refill, 0)
        bucket.at_s = now_s
        debt = PROGRESS_DEBT if in_progress else 0
        if bucket.tokens + debt >= 1:
            bucket.tokens -= 1
            return Grant(granted=True)
        wait_s = (1 + bucket.waiting - bucket.tokens) / rate_per_s
        if wait_s < MAX_WAIT_S:
            bucket.waiting += 1
        return Grant(granted=False, wait_s=min(wait_s, MAX_WAIT_S))

    def _bucket(self, incarnation: str, now_s: float) -> _Bucket:
        bucket = self.buckets.pop(incarnation, None) or _Bucket(0, now_s)
        self.buckets[incarnation] = bucket
        if len(self.buckets) > MAX_BUCKETS:
            self.buckets.pop(next(iter(self.buckets)))
        return bucket
