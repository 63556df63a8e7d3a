"""Limits on retries that all hosts of a system share.

Over any window, all hosts together may retry a ratio of the requests of a
service plus a fixed number.  A host uses the ratio of its own requests by
itself.  For more it asks its zone's lender, which knows what the hosts of the
zone have reported and lends the zone's part of the fixed number.
"""

from celerywharf.retries._budget import RetryBudget, RetryClaim
from celerywharf.retries._host_share import HostShare
from celerywharf.retries._lender import RetryLender
from celerywharf.retries._limiter import RetryLimiter
from celerywharf.retries._pool import RetryPool

__all__ = (
    'HostShare',
    'RetryBudget',
    'RetryClaim',
    'RetryLender',
    'RetryLimiter',
    'RetryPool',
)
