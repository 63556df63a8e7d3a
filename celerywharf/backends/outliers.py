"""Outlier detection: ejects backend servers that fail or are too slow."""

from __future__ import annotations

import statistics
from collections.abc import Container
from dataclasses import dataclass

MAX_CONSECUTIVE_ERRORS = 3
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Concurrent requests allowed after an ejection; each success raises the limit
# to the next step, after the last one it is lifted.
READMISSION_LIMITS = (1, 2, 4, 8)
LATENCY_SMOOTHING = 0.2  # weight of a new sample in the moving average
# A server is slow if its average exceeds this multiple of the others' median.
SLOW_FACTOR = 4.0
MIN_SLOW_S = 0.5  # an average below this is never too slow
MIN_LATENCY_SAMPLES = 5
# Long enough to skip a server that has crashed, short enough to use it again
# soon after a restart.
SKIP_S = 1.0


@dataclass(slots=True)
class _Record:
    errors: int = 0
    ejections: int = 0
    ejected_until_s: float = 0
    readmission_step: int = len(READMISSION_LIMITS)
    in_flight: int = 0
    mean_answer_s: float = 0
    samples: int = 0


class Outliers:
    """Ejects servers by consecutive errors and latency, readmits gradually.

    At most half of the known backend servers are ejected at a time: if most of
    them appear faulty, the cause is elsewhere.

    Attributes:
        readmission_limits: concurrent requests allowed after an ejection, one
            step for each success; empty if something else limits them.
        records: what is known of each server, by its name.
    """

    def __init__(
        self, readmission_limits: tuple[int, ...] = READMISSION_LIMITS
    ) -> None:
        self.readmission_limits = readmission_limits
        self.records: dict[str, _Record] = {}

    def usable(self, name: str, now: float) -> bool:
        """Return whether a backend server may be sent another request."""
        record = self.records.get(name)
        if record is None:
            return True
        if now < record.ejected_until_s:
            return False
        if record.readmission_step >= len(self.readmission_limits):
            return True
        limit = self.readmission_limits[record.readmission_step]
        return record.in_flight < limit

    def started(self, name: str) -> None:
        """Record the start of a request."""
        self._record(name).in_flight += 1

    def ended(self, name: str) -> None:
        """Record the end of a request, whatever its outcome."""
        record = self._record(name)
        record.in_flight = max(0, record.in_flight - 1)

    def succeeded(self, name: str, *, on_trial: bool = False) -> None:
        """Record a successful request.

        Args:
            name: name of the backend server.
            on_trial: something else limits the requests to it until it has
                proved itself.
        """
        record = self._record(name)
        record.errors = 0
        if record.readmission_step < len(self.readmission_limits):
            record.readmission_step += 1
        elif not on_trial:
            record.ejections = 0

    def failed(self, name: str, now: float) -> bool:
        """Record a failed request; return whether the server was ejected."""
        record = self._record(name)
        record.errors += 1
        readmitting = record.readmission_step < len(self.readmission_limits)
        if record.errors >= MAX_CONSECUTIVE_ERRORS or readmitting:
            return self.eject(name, now)
        return False

    def ejected_until_s(self, name: str) -> float:
        """Return until when a server is not used; 0 if it has not been."""
        record = self.records.get(name)
        return record.ejected_until_s if record else 0

    def restarted(self, name: str) -> None:
        """Use a server again whose new incarnation has failed nothing yet.

        One that has been ejected again and again stays so; the next ejection
        is as long as if it had not been restarted.
        """
        record = self.records.get(name)
        if record is not None and record.ejections <= 1:
            record.ejected_until_s = 0
            record.errors = 0
            record.samples = 0

    def skip(self, name: str, now: float) -> None:
        """Stop using a server for a short time because it does not respond."""
        record = self._record(name)
        record.ejected_until_s = max(
            record.ejected_until_s,
            now + SKIP_S,
        )

    def retain(self, names: Container[str]) -> None:
        """Evict other backend servers that have no requests in flight."""
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.in_flight or name in names
        }

    def answered(self, name: str, answer_s: float, now: float) -> bool:
        """Record the time to the first answer of a request.

        Returns:
            Whether the server was ejected because it is too slow on average.
        """
        record = self._record(name)
        if record.samples:
            answer_s = record.mean_answer_s + LATENCY_SMOOTHING * (
                answer_s - record.mean_answer_s
            )
        record.mean_answer_s = answer_s
        record.samples += 1
        others = [
            other.mean_answer_s
            for other in self.records.values()
            if other is not record and other.samples >= MIN_LATENCY_SAMPLES
        ]
        if record.samples < MIN_LATENCY_SAMPLES or not others:
            return False
        limit_s = max(SLOW_FACTOR * statistics.median(others), MIN_SLOW_S)
        return answer_s > limit_s and self.eject(name, now)

    def eject(self, name: str, now: float) -> bool:
        """Stop using a server; return False if too many are ejected."""
        ejected = [
            other
            for other, record in self.records.items()
            if now < record.ejected_until_s and other != name
        ]
        if (len(ejected) + 1) * 2 > len(self.records):
            return False
        record = self._record(name)
        if now < record.ejected_until_s:
            return False
        ejection_s = min(MIN_EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejected_until_s = now + ejection_s
        record.ejections += 1
        record.errors = 0
        record.samples = 0
        record.readmission_step = 0
        return True

    def _record(self, name: str) -> _Record:
        return self.records.setdefault(name, _Record())
