"""Waiting for room at backend servers: estimates, order and refusal."""

from celerywharf.waiting._estimates import (
    RETRY_AFTER_MIN_S,
    DrainRate,
    RetrySchedule,
    spread_retry_after_s,
)
from celerywharf.waiting._host_queue import HostQueue
from celerywharf.waiting._rooms import ServiceRoom, WaitingRequests
from celerywharf.waiting._tickets import Reason, Refused, WaitingTicket

__all__ = (
    'RETRY_AFTER_MIN_S',
    'DrainRate',
    'HostQueue',
    'Reason',
    'Refused',
    'RetrySchedule',
    'ServiceRoom',
    'WaitingRequests',
    'WaitingTicket',
    'spread_retry_after_s',
)
