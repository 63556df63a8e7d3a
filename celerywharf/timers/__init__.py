"""Timers that post messages to parts."""

from celerywharf.timers._service import Clock, Timer, TimerService

__all__ = ('Clock', 'Timer', 'TimerService')
