"""HDR histograms of times and labelled counters."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST_S = 3600
LONGEST_MICROS = LONGEST_S * MICROSECONDS
SIGNIFICANT_DIGITS = 2

HISTOGRAMS: Mapping[str, str] = {
    'backend_answer': 'from sending a call to its whole answer',
    'first_event': 'from arrival of a stream to its first event',
    'first_token': 'from acceptance of a generation to its first token',
    'between_tokens': 'between two batches of tokens to a caller',
    'resume_silence': 'from the last token before a loss to the next',
    'claim': 'writing the claim of a non-idempotent call',
    'admission_wait': 'from a demand to its grant',
    'table_spread': 'from acceptance of a change to its being in force',
}

Labels = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Metrics of a host in a form that can be sent and merged.

    Attributes:
        histograms: encoded HDR histograms by name.
        counters: value by name and labels.
    """

    histograms: dict[str, bytes]
    counters: dict[str, dict[Labels, float]]


class Metrics:
    """Times and counts of one host."""

    def __init__(self) -> None:
        self.histograms = {name: _histogram() for name in HISTOGRAMS}
        self.counters: dict[str, dict[Labels, float]] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Record a time."""
        micros = min(max(int(seconds * MICROSECONDS), 1), LONGEST_MICROS)
        self.histograms[name].record_value(micros)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = tuple(sorted(labels.items()))
        family = self.counters.setdefault(name, {})
        family[key] = family.get(key, 0) + amount

    def total(self, name: str) -> float:
        """Return a counter summed over its labels."""
        return sum(self.counters.get(name, {}).values())

    def snapshot(self) -> Snapshot:
        """Return everything in a form that can be sent."""
        return Snapshot(
            {name: one.encode() for name, one in self.histograms.items()},
            {name: dict(family) for name, family in self.counters.items()},
        )


def merge(snapshots: Iterable[Snapshot]) -> Metrics:
    """Add up the metrics of several hosts.

    Histograms are added bucket by bucket; percentiles are never averaged.
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
    return HdrHistogram(1, LONGEST_MICROS, SIGNIFICANT_DIGITS)
