"""Detection of streams whose engine has stopped sending events."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Callable

from celerywharf.backends import EngineReport

MAX_GAPS = 8
# Fraction of the gap target that silence may last; the rest of the time is
# needed to reach another backend server.
SILENCE_FRACTION = 0.5
# The same if the engine still answers other requests.  Silence on this stream
# alone then means that its answer is lost.
OWN_SILENCE_FRACTION = 0.8
MIN_SILENCE_S = 0.25
# The limit is this multiple of the longest recent gap, so that slower engines
# have more time.
PACE_FACTOR = 4.0
# Before the first event, silence usually means that the request is queued or
# that its prompt is being read.
FIRST_EVENT_SILENCE_S = 1.0
# The same if the engine still answers other requests.  A connection can be
# lost without a trace, so the engine is asked about this stream.
OWN_FIRST_EVENT_SILENCE_S = 2.5

# An engine that reports that it is at work on a stream is believed for this
# long since the last event.
STALLED_S = 2.5

# How long a silent send is kept before a successor is looked for again.
KEPT_S = 0.5


class Liveness(enum.Enum):
    """What is concluded from the silence of a stream."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


def assess_report(report: EngineReport, request_id: str) -> Liveness:
    """Assess a stream without events by its engine's report.

    If the engine has already produced events for the request, or has no
    prompts left to read, no events will arrive on this connection.
    """
    if request_id in report.answering:
        return Liveness.dead
    if report.waiting or report.prefilling:
        return Liveness.alive
    return Liveness.dead


def assess_run(
    report: EngineReport, request_id: str, last_event: int
) -> Liveness:
    """Assess a stream with events that is silent, by its engine's report.

    Returns:
        ``alive`` if the engine is at work on the next event; ``suspect`` if it
        has produced events that have not arrived; ``dead`` if it has no such
        run any more, or has put it back.
    """
    if request_id not in report.answering:
        return Liveness.dead
    if report.events.get(request_id, 0) > last_event:
        return Liveness.suspect
    return Liveness.alive


class SilenceDetector:
    """Compares the silence of a stream with the usual pace of its engine.

    Attributes:
        gap_target_s: longest acceptable pause between two events.
        started_s: when the send started, monotonic seconds.
        last_s: when the last event arrived, or the start before the first.
        gaps: recent pauses between events, seconds.
        has_events: whether any event has arrived.
        held: this host reads no events because the caller is too slow.
        has_new_events: whether any event has arrived since the last rest.
        asked_s: when the engine last reported on a stream without events.
        at_work_s: when the engine last reported that it works on the next
            event of the stream.
        excused_until_s: silence before this time has no consequences.
        on_event: called when an event arrives, before it is passed on; None if
            nobody waits for one.
        on_progress: called with the time of each event, monotonic seconds;
            None if nobody counts them.
    """

    def __init__(self, gap_target_s: float, started_s: float) -> None:
        self.gap_target_s = gap_target_s
        self.started_s = started_s
        self.last_s = started_s
        self.gaps: deque[float] = deque(maxlen=MAX_GAPS)
        self.has_events = False
        self.held = False
        self.has_new_events = False
        self.asked_s = started_s
        self.at_work_s = float('-inf')
        self.excused_until_s = float('-inf')
        self.on_event: Callable[[], None] | None = None
        self.on_progress: Callable[[float], None] | None = None

    def excuse(self, now_s: float) -> None:
        """Record that this host has read no events until now.

        Events that the engine sent meanwhile are still to be read.
        """
        self._excuse_until(now_s + MIN_SILENCE_S)

    def rest(self, until_s: float) -> None:
        """Record that this host reads nothing until then.

        It counts as silence unless there has been an event since the last rest,
        so that an engine which sends much without events is silent.

        Args:
            until_s: when reading goes on, monotonic seconds.
        """
        if self.has_new_events:
            self.excuse(until_s)
        self.has_new_events = False

    def postpone(self, now_s: float) -> None:
        """Record that the send is kept although it is silent."""
        self._excuse_until(now_s + KEPT_S)

    def record_report(self, now_s: float) -> None:
        """Record that the engine reported that it works on the stream."""
        self.asked_s = now_s

    def record_at_work(self, now_s: float) -> None:
        """Record that the engine works on the next event of the stream."""
        self.at_work_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the silence is too long for any report."""
        return now_s - self.last_s >= STALLED_S

    def record_event(self, now_s: float) -> None:
        """Record the arrival of an event."""
        if self.has_events:
            self.gaps.append(now_s - self.last_s)
        self.has_events = True
        self.has_new_events = True
        self.last_s = now_s
        if self.on_progress is not None:
            self.on_progress(now_s)
        if self.on_event is not None:
            self.on_event()

    def limit_s(self) -> float:
        """Return the silence between events after which a server is dead."""
        pace_s = max(self.gaps, default=0) * PACE_FACTOR
        max_limit_s = max(self.gap_target_s * SILENCE_FRACTION, MIN_SILENCE_S)
        return min(max(pace_s, MIN_SILENCE_S), max_limit_s)

    def assess(self, now_s: float, alive_at_s: float) -> Liveness:
        """Assess the current silence.

        Args:
            now_s: monotonic seconds.
            alive_at_s: when the backend server last responded, on this or any
                other request.
        """
        if now_s < self.expires_at_s(alive_at_s):
            return Liveness.alive
        return Liveness.dead if self.has_events else Liveness.suspect

    def expires_at_s(self, alive_at_s: float) -> float:
        """Return when the silence exceeds its limit unless it ends first."""
        if self.held:
            return math.inf
        return max(self._silent_until_s(alive_at_s), self.excused_until_s)

    def _excuse_until(self, until_s: float) -> None:
        self.excused_until_s = max(self.excused_until_s, until_s)

    def _silent_until_s(self, alive_at_s: float) -> float:
        last_alive_s = max(self.last_s, alive_at_s)
        if not self.has_events:
            return min(
                last_alive_s + FIRST_EVENT_SILENCE_S,
                self.asked_s + OWN_FIRST_EVENT_SILENCE_S,
            )
        own_limit_s = max(
            self.gap_target_s * OWN_SILENCE_FRACTION, self.limit_s()
        )
        silent_until_s = min(
            last_alive_s + self.limit_s(), self.last_s + own_limit_s
        )
        at_work_until_s = min(
            self.at_work_s + self.limit_s(), self.last_s + STALLED_S
        )
        return max(silent_until_s, at_work_until_s)
