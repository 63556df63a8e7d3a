"""One send to a server of a service that is rolled out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from celerywharf.rollouts._counts import RouteTally, bucket_of

MIN_EVENTS = 5  # from which the pace of a stream is known


@dataclass(slots=True, eq=False)
class VersionSend:
    """Counts what becomes of one send.

    Attributes:
        tally: of the route and version.
        started_s: when it was sent, monotonic seconds.
        on_end: called when it has ended.
        first_s: when its first event arrived; None before that.
        events: how many have arrived.
    """

    tally: RouteTally
    started_s: float
    on_end: Callable[[VersionSend], None]
    first_s: float | None = None
    events: int = 0

    def event(self, now_s: float) -> None:
        """Count an event of a stream."""
        self.events += 1
        if self.first_s is None:
            self.first_s = now_s
            self.tally.first[bucket_of(now_s - self.started_s)] += 1

    def answered(self, now_s: float) -> None:
        """Count a good end of a call or a stream."""
        if not self.events:
            self.event(now_s)
        self._end(now_s)

    def failed(self, now_s: float) -> None:
        """Count an answer that is a failure, or that did not come in time."""
        self.tally.failed += 1
        self._end(now_s)

    def broken(self, now_s: float) -> None:
        """Count the loss of the connection."""
        self.tally.broken += 1
        self._end(now_s)

    def dropped(self, now_s: float) -> None:
        """Count a send that was ended by this host or not run."""
        if self.first_s is None:
            self.tally.late[bucket_of(now_s - self.started_s)] += 1
        self.on_end(self)

    def _end(self, now_s: float) -> None:
        self.tally.ended += 1
        if self.events >= MIN_EVENTS and self.first_s is not None:
            pace_s = (now_s - self.first_s) / (self.events - 1)
            self.tally.pace[bucket_of(pace_s)] += 1
        self.on_end(self)
