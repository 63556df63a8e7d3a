"""Histograms and counters of a host."""

from celerywharf.metrics._exposition import METRIC_ROUTES
from celerywharf.metrics._registry import (
    HISTOGRAMS,
    Metrics,
    Snapshot,
    merge,
)

__all__ = ('HISTOGRAMS', 'METRIC_ROUTES', 'Metrics', 'Snapshot', 'merge')
