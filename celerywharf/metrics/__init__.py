"""Histograms and counters of a host."""

from celerywharf.metrics._exposition import EXPOSITION_CONTENT_TYPE, expose
from celerywharf.metrics._registry import (
    HISTOGRAMS,
    Metrics,
    Snapshot,
    merge,
)

__all__ = (
    'EXPOSITION_CONTENT_TYPE',
    'HISTOGRAMS',
    'Metrics',
    'Snapshot',
    'expose',
    'merge',
)
