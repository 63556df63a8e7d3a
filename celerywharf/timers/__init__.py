"""The timer service that parts subscribe to."""

from celerywharf.timers._service import Clock, Subscription, TimerService

__all__ = ('Clock', 'Subscription', 'TimerService')
