"""Orders of the operator, and the steps in which they are carried out."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

# The last step is written before the deadline, as the order may have been
# written before the store told it, and as the write takes a call.
DONE_LEAD_S = 0.25
# Calls that were sent to the old servers have ended after this time.
SETTLE_S = 0.4
# Answers of the last seconds before the last step are told at once.
ENDING_S = 2.0
# Traffic after the move may be this many times the most that was before it.
GROWTH = 1.6


class Stage(enum.StrEnum):
    """How far a roll-out is; the values are stored.

    Attributes:
        trial: the new version gets a share of the requests.
        moving: it gets all requests from a stated time on.
        done: it has all requests; the other versions get none.
        rolled_back: it gets none any more.
    """

    trial = enum.auto()
    moving = enum.auto()
    done = enum.auto()
    rolled_back = enum.auto()

    @property
    def is_final(self) -> bool:
        """Return whether no other step follows."""
        return self in {Stage.done, Stage.rolled_back}


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator wants a service at another software version.

    Attributes:
        service: name of the service.
        to: the new software version.
        period_s: time from the order until all requests go there.
        version: version of the order's row.
        ordered_s: when the store answered with it, on its clock, seconds.
    """

    service: str
    to: str
    period_s: float
    version: int
    ordered_s: float = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A step of a roll-out, which binds all hosts.

    Times are seconds on the store's clock.

    Attributes:
        service: name of the service.
        to: the new software version.
        order_version: version of the row of the order that is carried out.
        period_s: as in the order.
        started_s: when the first step was decided.
        stage: how far the roll-out is.
        share: of the requests that the new version gets in a trial.
        move_s: when it gets all requests; 0 before that is decided.
        replaced: the versions that it replaces.
        barred: versions that were tried before and get no requests.
        host: who decides, as name and incarnation.
        availability_zone: zone of that host.
        era: era of the store in which the step was written.
        early_part: of the requests, that reached the new version before the
            order was known; 0 if it had no servers then.
        requests: to the service since the order, as known at this step.
        exposed: those of them that reached the new version.
        peak: the most requests a second since the order, as known then.
        reason: why this step was taken.
    """

    service: str
    to: str
    order_version: int
    period_s: float
    started_s: float
    stage: Stage = Stage.trial
    share: float = 0
    move_s: float = 0
    replaced: tuple[str, ...] = ()
    barred: tuple[str, ...] = ()
    host: str = ''
    availability_zone: str = ''
    era: int = 0
    early_part: float = 0
    requests: int = 0
    exposed: int = 0
    peak: float = 0
    reason: str = ''

    @property
    def deadline_s(self) -> float:
        """Return when the period of the order ends."""
        return self.started_s + self.period_s

    def most_moved(self, rate: float) -> float:
        """Return how many requests may move before the last step.

        Args:
            rate: requests a second before the move.
        """
        until_s = max(self.deadline_s - DONE_LEAD_S, self.move_s + SETTLE_S)
        return rate * GROWTH * (until_s - self.move_s)

    def is_ending(self, now_s: float) -> bool:
        """Return whether the last step of a move comes soon.

        Args:
            now_s: seconds on the store's clock.
        """
        begins_s = self.deadline_s - ENDING_S
        return self.stage is Stage.moving and now_s >= begins_s

    def carries_out(self, order: RolloutOrder) -> bool:
        """Return whether this is a step of an order."""
        return (self.order_version, self.to) == (order.version, order.to)
