"""Request limits that backend servers state for all hosts together."""

from celerywharf.limits._statements import LimitStatement, StatedLimits

__all__ = ('LimitStatement', 'StatedLimits')
