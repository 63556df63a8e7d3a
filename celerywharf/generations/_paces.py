"""How long an engine may be silent, judged by its own history."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.tables import Policy

SMOOTHING = 0.1
GAP_FACTOR = 8
FIRST_TOKEN_FACTOR = 4
LEAST_PART = 0.25
UNKNOWN_FIRST_TOKEN_S = 1.0
LONGEST_FIRST_TOKEN_S = 60.0


@dataclass(slots=True)
class Pace:
    """What one backend server took lately, in seconds.

    Attributes:
        gap_s: smoothed time between two arrivals of tokens.
        gap_peak_s: slowly forgotten longest such time.
        first_s: slowly forgotten longest time to the first token.
    """

    gap_s: float = 0
    gap_peak_s: float = 0
    first_s: float = UNKNOWN_FIRST_TOKEN_S

    def observe_gap(self, gap_s: float) -> None:
        """Take the time between two arrivals."""
        self.gap_s += SMOOTHING * (gap_s - self.gap_s)
        if gap_s > self.gap_peak_s:
            self.gap_peak_s = gap_s
        else:
            self.gap_peak_s += SMOOTHING * (self.gap_s - self.gap_peak_s)

    def observe_first(self, seconds: float) -> None:
        """Take the time from the start of an attempt to its first token."""
        if seconds > self.first_s:
            self.first_s = seconds
        else:
            self.first_s += SMOOTHING * (seconds - self.first_s)


class Paces:
    """The paces of all backend servers a host uses."""

    def __init__(self, patient_s: float, eager_s: float) -> None:
        self.longest = {Policy.patient: patient_s, Policy.eager: eager_s}
        self.by_backend: dict[str, Pace] = {}

    def of(self, backend_server: str) -> Pace:
        """Return the pace of a backend server."""
        pace = self.by_backend.get(backend_server)
        if pace is None:
            pace = Pace()
            self.by_backend[backend_server] = pace
        return pace

    def allowed(self, pace: Pace, policy: Policy, *, produced: bool) -> float:
        """Return the longest acceptable silence, seconds."""
        if produced:
            return self.allowed_gap(pace, policy)
        return self.allowed_first(pace, policy)

    def allowed_gap(self, pace: Pace, policy: Policy) -> float:
        """Return the longest acceptable silence between tokens, seconds.

        The patient policy always waits its full time: what it would save in
        silence it would spend in engine work.
        """
        longest = self.longest[policy]
        if policy is Policy.patient:
            return longest
        usual = GAP_FACTOR * max(pace.gap_s, pace.gap_peak_s)
        return min(longest, max(LEAST_PART * longest, usual))

    def allowed_first(self, pace: Pace, policy: Policy) -> float:
        """Return the longest acceptable wait for a first token, seconds."""
        allowed = self.longest[policy] + FIRST_TOKEN_FACTOR * pace.first_s
        return min(allowed, LONGEST_FIRST_TOKEN_S)
