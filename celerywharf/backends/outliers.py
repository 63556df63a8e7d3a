"""Backend servers that fail or answer far slower than the others."""

from __future__ import annotations

import statistics
from collections.abc import Container
from dataclasses import dataclass

ERRORS_IN_A_ROW = 3
EJECT_FIRST_S = 2.0
EJECT_MOST_S = 60.0
READMIT_STEPS = (1, 2, 4, 8)
SMOOTHING = 0.2
SLOW_FACTOR = 4.0
SLOW_LEAST_S = 0.5
SLOW_SAMPLES = 5
UNREACHABLE_S = 1.0  # long enough to pass over a crash, short to come back


@dataclass(slots=True)
class _Record:
    errors: int = 0
    ejections: int = 0
    ejected_until_s: float = 0
    step: int = len(READMIT_STEPS)
    in_flight: int = 0
    answer_s: float = 0
    samples: int = 0


class Outliers:
    """Ejects by consecutive errors and by latency, readmits slowly.

    At most half of the backend servers it knows are ejected at a time: when
    most look bad, the fault is elsewhere.
    """

    def __init__(self) -> None:
        self.records: dict[str, _Record] = {}

    def usable(self, name: str, now: float) -> bool:
        """Tell whether a backend server may get one more request."""
        record = self.records.get(name)
        if record is None:
            return True
        if now < record.ejected_until_s:
            return False
        if record.step >= len(READMIT_STEPS):
            return True
        return record.in_flight < READMIT_STEPS[record.step]

    def started(self, name: str) -> None:
        """Note that a request went there."""
        self._record(name).in_flight += 1

    def ended(self, name: str) -> None:
        """Note that a request there came to an end."""
        record = self._record(name)
        record.in_flight = max(0, record.in_flight - 1)

    def succeeded(self, name: str) -> None:
        """Note that it did what it was asked to."""
        record = self._record(name)
        record.errors = 0
        if record.step < len(READMIT_STEPS):
            record.step += 1
        else:
            record.ejections = 0

    def failed(self, name: str, now: float) -> bool:
        """Note an error; tell whether it was ejected for it."""
        record = self._record(name)
        record.errors += 1
        readmitting = record.step < len(READMIT_STEPS)
        if record.errors >= ERRORS_IN_A_ROW or readmitting:
            return self._eject(name, now)
        return False

    def unreachable(self, name: str, now: float) -> None:
        """Pass over a server that cannot be reached, for a short time."""
        record = self._record(name)
        record.ejected_until_s = max(
            record.ejected_until_s,
            now + UNREACHABLE_S,
        )

    def keep(self, names: Container[str]) -> None:
        """Drop other backend servers where nothing is under way."""
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.in_flight or name in names
        }

    def answered(self, name: str, answer_s: float, now: float) -> bool:
        """Note the time to a first answer; tell whether it was too slow."""
        record = self._record(name)
        if record.samples:
            answer_s = record.answer_s + SMOOTHING * (
                answer_s - record.answer_s
            )
        record.answer_s = answer_s
        record.samples += 1
        others = [
            other.answer_s
            for other in self.records.values()
            if other is not record and other.samples >= SLOW_SAMPLES
        ]
        if record.samples < SLOW_SAMPLES or not others:
            return False
        bound_s = max(SLOW_FACTOR * statistics.median(others), SLOW_LEAST_S)
        return answer_s > bound_s and self._eject(name, now)

    def _eject(self, name: str, now: float) -> bool:
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
        span_s = min(EJECT_FIRST_S * 2**record.ejections, EJECT_MOST_S)
        record.ejected_until_s = now + span_s
        record.ejections += 1
        record.errors = 0
        record.samples = 0
        record.step = 0
        return True

    def _record(self, name: str) -> _Record:
        return self.records.setdefault(name, _Record())
