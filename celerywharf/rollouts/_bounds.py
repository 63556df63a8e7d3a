"""Limits of roll-outs that the users of the system set."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """How much of a service a version that may be bad can get.

    Attributes:
        exposure_share: of the requests to the service until the deadline.
        exposure_slack: requests allowed beyond that share.
        rollback_s: time from the 50th bad answer until no host sends the
            version anything.
    """

    exposure_share: float
    exposure_slack: float
    rollback_s: float
