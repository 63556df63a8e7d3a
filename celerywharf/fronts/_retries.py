"""Builds the limits on retries from the settings."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from celerywharf.retries import HostShare, RetryBudget, RetryLimiter
from celerywharf.settings import FrontSettings
from celerywharf.sharing import Lending

# Assumed number of hosts of a deployment whose hosts share nothing; up to this
# many of them stay within the retry slack and the limits of servers.
UNSHARED_HOSTS = 15
RATIO_SHARE = 0.9  # keeps the total of all hosts below the ratio
# Parts of the retry slack for lenders and for the shares of hosts.  Two lenders
# of a zone may lend at the same time after a partition.
LENT_FRACTION = 0.3
HOST_SHARE_FRACTION = 0.25


def build_retry_limiter(
    settings: FrontSettings,
    now: Callable[[], float],
    random: Random,
) -> RetryLimiter:
    """Return the limiter; its lender is None if nothing is shared."""
    bounds = settings.bounds
    ratio = bounds.retry_ratio * RATIO_SHARE
    window_s = bounds.retry_window_s
    if settings.front.peers is None:
        fixed = int(bounds.retry_slack / UNSHARED_HOSTS)
        return RetryLimiter(RetryBudget(ratio, fixed, window_s), now)
    zones = max(len(settings.zones.regions), 1)
    share = HostShare(
        bounds.retry_slack * HOST_SHARE_FRACTION, zones, window_s, random
    )
    fixed = bounds.retry_slack * LENT_FRACTION / zones
    lending = Lending(ratio, fixed, window_s, share)
    return RetryLimiter(RetryBudget(ratio, 0, window_s), now, lending, share)


def apply_retry_ratio(limiter: RetryLimiter, retry_ratio: float) -> None:
    """Apply a changed ratio of retries to requests."""
    ratio = retry_ratio * RATIO_SHARE
    limiter.budget.ratio = ratio
    lender = limiter.lender
    if isinstance(lender, Lending):
        lender.apply_ratio(ratio)
