"""Limits on the silence of engines, based on their recent latency."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.tables import Policy

SMOOTHING = 0.1
# Factors by which an engine may exceed its recent latency.
GAP_FACTOR = 8
FIRST_TOKEN_FACTOR = 4
# Smallest limit between tokens, as a fraction of the policy's limit.
MIN_GAP_FRACTION = 0.25
INITIAL_FIRST_TOKEN_S = 1.0
LONGEST_FIRST_TOKEN_S = 60.0


@dataclass(slots=True)
class EngineLatency:
    """Recent latency of one backend server.

    Attributes:
        gap_s: moving average of the time between two batches of tokens.
        gap_peak_s: decaying maximum of that time.
        first_s: decaying maximum of the time to the first token.
    """

    gap_s: float = 0
    gap_peak_s: float = 0
    first_s: float = INITIAL_FIRST_TOKEN_S

    def observe_gap(self, gap_s: float) -> None:
        """Record the time between two batches of tokens."""
        self.gap_s += SMOOTHING * (gap_s - self.gap_s)
        if gap_s > self.gap_peak_s:
            self.gap_peak_s = gap_s
        else:
            self.gap_peak_s += SMOOTHING * (self.gap_s - self.gap_peak_s)

    def observe_first(self, seconds: float) -> None:
        """Record the time from the start of an attempt to its first token."""
        if seconds > self.first_s:
            self.first_s = seconds
        else:
            self.first_s += SMOOTHING * (seconds - self.first_s)


class EngineLatencies:
    """Latencies of all backend servers that a host uses."""

    def __init__(self, patient_s: float, eager_s: float) -> None:
        self.policy_limits_s = {
            Policy.patient: patient_s,
            Policy.eager: eager_s,
        }
        self.by_backend: dict[str, EngineLatency] = {}

    def get(self, backend_server: str) -> EngineLatency:
        """Return the latency of a backend server, a new one if unknown."""
        latency = self.by_backend.get(backend_server)
        if latency is None:
            latency = EngineLatency()
            self.by_backend[backend_server] = latency
        return latency

    def max_silence_s(
        self, latency: EngineLatency, policy: Policy, *, produced: bool
    ) -> float:
        """Return the longest acceptable silence, in seconds.

        ``produced`` says whether the attempt has produced a token.
        """
        if produced:
            return self.max_gap_s(latency, policy)
        return self.max_first_token_s(latency, policy)

    def max_gap_s(self, latency: EngineLatency, policy: Policy) -> float:
        """Return the longest acceptable silence between tokens, in seconds.

        The patient policy always waits its full limit: a lower limit would
        shorten silences at the cost of repeated engine work.
        """
        policy_limit_s = self.policy_limits_s[policy]
        if policy is Policy.patient:
            return policy_limit_s
        usual = GAP_FACTOR * max(latency.gap_s, latency.gap_peak_s)
        return min(
            policy_limit_s, max(MIN_GAP_FRACTION * policy_limit_s, usual)
        )

    def max_first_token_s(
        self, latency: EngineLatency, policy: Policy
    ) -> float:
        """Return the longest acceptable wait for a first token, in seconds."""
        allowed = (
            self.policy_limits_s[policy] + FIRST_TOKEN_FACTOR * latency.first_s
        )
        return min(allowed, LONGEST_FIRST_TOKEN_S)
