"""Request limits that backend servers state for all hosts together."""

from celerywharf.limits._alone import FixedShare
from celerywharf.limits._lender import LimitLender
from celerywharf.limits._limiter import Clocks, ServerLimiter
from celerywharf.limits._pool import Grant, LimitPool
from celerywharf.limits._statements import LimitStatement, StatedLimits

__all__ = (
    'Clocks',
    'FixedShare',
    'Grant',
    'LimitLender',
    'LimitPool',
    'LimitStatement',
    'ServerLimiter',
    'StatedLimits',
)
