"""HDR histograms of durations, and counters with labels."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MAX_DURATION_S = 3600
MAX_DURATION_MICROS = MAX_DURATION_S * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2

HISTOGRAMS: Mapping[str, str] = {
    'backend_answer': 'from sending a call to its whole answer',
    'first_event': 'from arrival of a stream to its first event',
    'first_token': 'from acceptance of a generation to its first token',
    'between_tokens': 'between two batches of tokens to a caller',
    'resume_silence': 'from the last token before a loss to the next',
    'claim': 'writing the claim of a non-idempotent call',
    'admission_wait': 'from a demand to its grant',
    'room_wait': 'from the start of a wait for room at engines to the send',
    'table_spread': 'from acceptance of a change to its being in force',
}

Labels = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Metrics of a host in a form that can be serialised and merged.

    Attributes:
        histograms: encoded HDR histograms by name.
        counters: counter values by name, then by labels.
    """

    histograms: dict[str, bytes]
    counters: dict[str, dict[Labels, float]]


class Metrics:
    """Histograms and counters of one host.

    Attributes:
        histograms: histograms of microseconds, by name in ``HISTOGRAMS``.
        counters: counter values by name, then by labels.
    """

    def __init__(self) -> None:
        self.histograms = {name: _histogram() for name in HISTOGRAMS}
        self.counters: dict[str, dict[Labels, float]] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, limited to 1 us and 1 h."""
        micros = min(
            max(int(seconds * MICROSECONDS_PER_SECOND), 1), MAX_DURATION_MICROS
        )
        self.histograms[name].record_value(micros)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to the counter with these labels."""
        key = tuple(sorted(labels.items()))
        family = self.counters.setdefault(name, {})
        family[key] = family.get(key, 0) + amount

    def total(self, name: str) -> float:
        """Return the sum of a counter over all labels."""
        return sum(self.counters.get(name, {}).values())

    def snapshot(self) -> Snapshot:
        """Return a copy of all metrics that can be serialised."""
        return Snapshot(
            {
                name: histogram.encode()
                for name, histogram in self.histograms.items()
            },
            {name: dict(family) for name, family in self.counters.items()},
        )


def merge(snapshots: Iterable[Snapshot]) -> Metrics:
    """Return the sum of the metrics of several hosts.

    Histograms are added bucket by bucket; averages of percentiles would not
    be percentiles of all values.
    """
    merged = Metrics()
    for snapshot in snapshots:
        for name, encoded in snapshot.histograms.items():
            merged.histograms.setdefault(name, _histogram())
            merged.histograms[name].add(HdrHistogram.decode(encoded))
        for counter, family in snapshot.counters.items():
            for labels, amount in family.items():
                merged.count(counter, amount, **dict(labels))
    return merged


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS)
