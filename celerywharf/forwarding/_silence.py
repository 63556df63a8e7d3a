"""When a silent stream is given up and goes on elsewhere."""

from __future__ import annotations

import enum
from collections import deque

from celerywharf.backends import EngineReport

GAPS_KEPT = 8
# Share of the longest pause on time that silence may last: the rest is for
# reaching another backend server.
SILENCE_SHARE = 0.5
# The same where the engine is heard on other requests; this answer is lost.
OWN_SILENCE_SHARE = 0.8
SHORTEST_SILENCE_S = 0.25
PACE_FACTOR = 4.0  # slower engines get more time
# Before the first event silence is a queue or a prompt being read.
FIRST_EVENT_SILENCE_S = 1.0


class Sight(enum.Enum):
    """What silence means."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


def judge_report(report: EngineReport, request_id: str) -> Sight:
    """Tell what an engine's report means for a stream without an event.

    An engine that has made events for it, or that has nothing left to read,
    will not be heard on this connection any more.
    """
    if request_id in report.answering:
        return Sight.dead
    if report.waiting or report.prefilling:
        return Sight.alive
    return Sight.dead


class SilenceWatch:
    """Judges the silence of one stream against its engine's own pace."""

    def __init__(self, gap_target_s: float, started_s: float) -> None:
        self.gap_target_s = gap_target_s
        self.last_s = started_s
        self.gaps: deque[float] = deque(maxlen=GAPS_KEPT)
        self.flowing = False

    def event(self, now_s: float) -> None:
        """Note an event."""
        if self.flowing:
            self.gaps.append(now_s - self.last_s)
        self.flowing = True
        self.last_s = now_s

    def limit_s(self) -> float:
        """Return the silence between events that means death."""
        pace_s = max(self.gaps, default=0) * PACE_FACTOR
        most_s = max(self.gap_target_s * SILENCE_SHARE, SHORTEST_SILENCE_S)
        return min(max(pace_s, SHORTEST_SILENCE_S), most_s)

    def judge(self, now_s: float, alive_at_s: float) -> Sight:
        """Tell what the silence means.

        Args:
            now_s: monotonic seconds.
            alive_at_s: last sign of life of the backend server, on this or
                any other request.
        """
        if now_s < self.due_s(alive_at_s):
            return Sight.alive
        return Sight.dead if self.flowing else Sight.suspect

    def due_s(self, alive_at_s: float) -> float:
        """Return when silence has lasted too long unless it ends before."""
        heard_s = max(self.last_s, alive_at_s)
        if not self.flowing:
            return heard_s + FIRST_EVENT_SILENCE_S
        own_s = max(self.gap_target_s * OWN_SILENCE_SHARE, self.limit_s())
        return min(heard_s + self.limit_s(), self.last_s + own_s)
