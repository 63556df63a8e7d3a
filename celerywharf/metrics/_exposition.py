"""Metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import (
    CONTENT_TYPE_LATEST as EXPOSITION_CONTENT_TYPE,
)
from prometheus_client.metrics_core import Metric

from celerywharf.metrics._registry import (
    HISTOGRAMS,
    MICROSECONDS_PER_SECOND,
    Metrics,
)

PERCENTILES = (50, 90, 95, 99, 99.9)
PERCENT = 100

__all__ = ('EXPOSITION_CONTENT_TYPE', 'expose')


class Collector:
    """Provides a host's metrics to ``prometheus_client``."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield each metric family."""
        for name, histogram in self.metrics.histograms.items():
            count = histogram.get_total_count()
            family = SummaryMetricFamily(
                f'celerywharf_{name}_seconds',
                HISTOGRAMS[name],
                count_value=count,
                sum_value=(
                    histogram.get_mean_value() * count / MICROSECONDS_PER_SECOND
                ),
            )
            for percentile in PERCENTILES:
                micros = histogram.get_value_at_percentile(percentile)
                family.add_sample(
                    f'celerywharf_{name}_seconds',
                    {'quantile': str(percentile / PERCENT)},
                    micros / MICROSECONDS_PER_SECOND,
                )
            yield family
        yield from self._counters()

    def _counters(self) -> Iterator[Metric]:
        for name, by_labels in self.metrics.counters.items():
            label_names = sorted(
                {label for labels in by_labels for label, _ in labels}
            )
            family = CounterMetricFamily(
                f'celerywharf_{name}',
                name.replace('_', ' '),
                labels=label_names,
            )
            for labels, amount in by_labels.items():
                label_values = dict(labels)
                family.add_metric(
                    [label_values.get(label, '') for label in label_names],
                    amount,
                )
            yield family


def expose(metrics: Metrics) -> bytes:
    """Return all metrics as text; its type is ``EXPOSITION_CONTENT_TYPE``."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(metrics))
    return generate_latest(registry)
