"""Histograms and counters of a host."""

from celerywharf.metrics._exposition import METRIC_ROUTES, Collector
from celerywharf.metrics._registry import (
    HISTOGRAMS,
    Metrics,
    Snapshot,
    merge,
)

__all__ = (
    'Collector',
    'HISTOGRAMS',
    'METRIC_ROUTES',
    'Metrics',
    'Snapshot',
    'merge',
)
