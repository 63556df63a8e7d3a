"""The time line: what happened, in an order that respects causes."""

from celerywharf.timeline._clock import HybridClock, Stamp
from celerywharf.timeline._recorder import Event, Recorder

__all__ = ('Event', 'HybridClock', 'Recorder', 'Stamp')
