"""The timeline: events of all processes, with no effect before its cause."""

from celerywharf.timeline._clock import NO_STAMP, HybridClock, Stamp
from celerywharf.timeline._recorder import Event, Recorder

__all__ = ('NO_STAMP', 'Event', 'HybridClock', 'Recorder', 'Stamp')
