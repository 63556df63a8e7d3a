"""Decides the steps of one roll-out."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace

from celerywharf.rollouts._bounds import RolloutBounds
from celerywharf.rollouts._counts import ServiceTally
from celerywharf.rollouts._evidence import Verdict, judge
from celerywharf.rollouts._steps import (
    DONE_LEAD_S,
    GROWTH,
    SETTLE_S,
    RolloutOrder,
    RolloutStep,
    Stage,
)

# All hosts know an order this long after the store has told it.
ORDER_LAG_S = 0.7
# All hosts have learned a step after this time, if no message is lost.
ANNOUNCE_S = 1.5
SHORT_ANNOUNCE_S = 0.8
POSTPONED_S = 0.3
# Part of the allowed share that the trial uses before its first answers.
FIRST_PART = 0.35
FIRST_ANSWERS = 8
# Later it uses what the move leaves, within these limits.
MOST_SHARE = 0.2
TRIAL_PART = 0.9
# The share is changed when it should be this many times larger or smaller.
RAISED = 1.25
LOWERED = 0.6
MIN_LEFT_S = 3.0  # until the deadline, for a change of the share
# Part of the slack that is planned to be used.
SLACK_PART = 0.8
MAX_MOVED_PART = 0.5  # of the period
RATE_WINDOW_S = 2.0
# All hosts of a zone have told a new reader their counts after this time.
COUNTED_S = 0.75
# A host that has just begun to decide knows the requests a second after this.
MIN_OBSERVED_S = 1.0
# The last step waits while the answers are likelier from a bad version.
MOST_DOUBT = 1.0
MIN_SLOTS_PART = 0.5  # of the old servers' slots, that new ones must have
MIN_EXPOSED = 10  # requests of which at least one must have been answered


@dataclass(frozen=True, slots=True)
class View:
    """What the deciding host knows.

    Attributes:
        tally: the counts of all hosts.
        new_slots: slots of the servers of the new version.
        old_slots: slots of the others.
        is_confirmed: the store has answered all the time of late, and the
            counts of all hosts are known.
        arrived: requests that have arrived while this host looked on; None if
            the tally has grown by nothing else.
    """

    tally: ServiceTally
    new_slots: int
    old_slots: int
    is_confirmed: bool = True
    arrived: int | None = None


def first_step(order: RolloutOrder, bounds: RolloutBounds) -> RolloutStep:
    """Return the step with which a roll-out begins."""
    return RolloutStep(
        order.service,
        order.to,
        order.version,
        order.period_s,
        order.ordered_s,
        share=bounds.exposure_share * FIRST_PART,
        reason='ordered',
    )


class StepDecider:
    """Raises a version's share as long as its answers are good.

    Answers the load of a service that is moved while it is used: until the
    deadline a bad version must not get more than a share of all requests and
    a fixed number beyond it, whenever it turns bad.  So all requests go to the
    new version only once what may arrive until the deadline fits into what is
    left of both.  All times are seconds on the store's clock.

    Attributes:
        bounds: what the new version may get.
        began_s: when this host began to decide; infinite before that.
        observed: times and numbers of requests of late, oldest first.
        peak: the most requests a second so far.
    """

    def __init__(self, bounds: RolloutBounds) -> None:
        self.bounds = bounds
        self.began_s = math.inf
        self.observed: deque[tuple[float, int]] = deque()
        self.peak: float = 0

    def decide(
        self, step: RolloutStep, view: View, now_s: float
    ) -> RolloutStep | None:
        """Return the next step; None if the last one still holds."""
        self._observe(now_s, view)
        elapsed_s = max(now_s - step.started_s, MIN_OBSERVED_S)
        mean = view.tally.requests / elapsed_s
        self.peak = max(self.peak, step.peak, mean)
        if step.stage.is_final:
            return None
        is_moved = step.stage is Stage.moving and now_s >= step.move_s
        verdict = judge(view.tally, loaded=is_moved)
        if verdict.is_bad:
            return self._counted(
                replace(step, stage=Stage.rolled_back, reason=verdict.reason),
                view,
            )
        if self._may_end(step, view, now_s, verdict):
            return self._counted(
                replace(step, stage=Stage.done, reason='all requests moved'),
                view,
            )
        if now_s - self.observed[0][0] < MIN_OBSERVED_S:
            return None
        if step.stage is Stage.trial:
            return self._decide_trial(step, view, now_s)
        return self._decide_move(step, view, now_s)

    def _decide_trial(
        self, step: RolloutStep, view: View, now_s: float
    ) -> RolloutStep | None:
        deadline_s = step.deadline_s
        move_s = self._plan_move(step, view, now_s)
        lack = _lack(view)
        if not lack and now_s >= move_s - ANNOUNCE_S:
            move_s = max(move_s, now_s + SHORT_ANNOUNCE_S)
            return self._counted(
                replace(
                    step,
                    stage=Stage.moving,
                    move_s=move_s,
                    reason='answers are good',
                ),
                view,
            )
        if lack and now_s >= deadline_s - DONE_LEAD_S:
            return self._counted(
                replace(step, stage=Stage.rolled_back, reason=lack), view
            )
        if deadline_s - now_s < MIN_LEFT_S:
            return None
        share = self._trial_share(step, view, now_s)
        is_answered = view.tally.ended(is_new=True) >= FIRST_ANSWERS
        if is_answered and share > step.share * RAISED:
            reason = 'first answers are good'
        elif share < step.share * LOWERED:
            reason = 'more requests'
        else:
            return None
        return self._counted(replace(step, share=share, reason=reason), view)

    def _decide_move(
        self, step: RolloutStep, view: View, now_s: float
    ) -> RolloutStep | None:
        if now_s < step.move_s:
            move_s = self._plan_move(step, view, now_s)
            if move_s <= step.move_s + POSTPONED_S:
                return None
            return self._counted(
                replace(step, move_s=move_s, reason='more requests'), view
            )
        if self._exceeds(step, view, now_s):
            return self._counted(
                replace(
                    step,
                    stage=Stage.trial,
                    share=0,
                    move_s=0,
                    reason='more requests',
                ),
                view,
            )
        return None

    def _may_end(
        self, step: RolloutStep, view: View, now_s: float, verdict: Verdict
    ) -> bool:
        """Return whether all requests may stay at the new version for good.

        It takes the counts of all hosts, but not the requests a second: so a
        host that has just begun to decide does not exceed the deadline more
        than it must.  It is put off for a while if the answers so far are
        likelier from a bad version than from a good one.
        """
        if step.stage is not Stage.moving or not view.is_confirmed:
            return False
        done_s = max(step.move_s + SETTLE_S, step.deadline_s - DONE_LEAD_S)
        if verdict.weight > MOST_DOUBT:
            done_s += self.bounds.rollback_s
        return now_s >= max(done_s, self.began_s + COUNTED_S)

    def _plan_move(self, step: RolloutStep, view: View, now_s: float) -> float:
        """Return when all requests may go to the new version at the earliest.

        What may arrive from then on until the deadline fits into what is left.
        """
        deadline_s = step.deadline_s
        left_s = max(deadline_s - now_s, 0)
        exposed = self._exposed(step, view)
        trial = step.share * self._rate()
        left = self._allowed(view, left_s) - exposed - trial * left_s
        most_s = step.period_s * MAX_MOVED_PART
        if not self.peak:
            return deadline_s - most_s
        moved_s = left / (self.peak * GROWTH - trial)
        return deadline_s - min(max(moved_s, 0), most_s)

    def _exposed(self, step: RolloutStep, view: View) -> float:
        """Return the requests that have reached the new version.

        Hosts count none before they know the order.
        """
        early = step.early_part * self.peak * ORDER_LAG_S
        return max(view.tally.exposed, step.exposed) + early

    def _allowed(self, view: View, left_s: float) -> float:
        requests = view.tally.requests + self._rate() * left_s
        bounds = self.bounds
        return (
            bounds.exposure_share * requests
            + bounds.exposure_slack * SLACK_PART
        )

    def _exceeds(self, step: RolloutStep, view: View, now_s: float) -> bool:
        """Return whether the requests until the deadline would be too many."""
        left_s = step.deadline_s - now_s
        if left_s <= ANNOUNCE_S:
            return False
        expected = self._rate() * left_s
        bounds = self.bounds
        requests = view.tally.requests + expected
        return self._exposed(step, view) + expected > (
            bounds.exposure_share * requests + bounds.exposure_slack
        )

    def _trial_share(
        self, step: RolloutStep, view: View, now_s: float
    ) -> float:
        """Return the largest share that leaves enough for the move."""
        left_s = step.deadline_s - now_s
        expected = self._rate() * left_s
        if not expected:
            return step.share
        exposed = self._exposed(step, view)
        moved = self.peak * GROWTH * (SETTLE_S + DONE_LEAD_S)
        left = self._allowed(view, left_s) - exposed - moved
        return min(max(left * TRIAL_PART / expected, 0), MOST_SHARE)

    def _counted(self, step: RolloutStep, view: View) -> RolloutStep:
        """Note the counts with which a step was decided."""
        return replace(
            step,
            requests=max(view.tally.requests, step.requests),
            exposed=max(view.tally.exposed, step.exposed),
            peak=self.peak,
        )

    def _rate(self) -> float:
        """Return the requests a second of late."""
        first_s, first = self.observed[0]
        last_s, last = self.observed[-1]
        return (last - first) / (last_s - first_s) if last_s > first_s else 0

    def _observe(self, now_s: float, view: View) -> None:
        arrived = view.arrived
        requests = view.tally.requests if arrived is None else arrived
        self.began_s = min(self.began_s, now_s)
        if self.observed and requests < self.observed[-1][1]:
            requests = self.observed[-1][1]
        self.observed.append((now_s, requests))
        while self.observed[0][0] < now_s - RATE_WINDOW_S:
            self.observed.popleft()
        if now_s - self.observed[0][0] >= MIN_OBSERVED_S:
            self.peak = max(self.peak, self._rate())


def _lack(view: View) -> str:
    """Return what the new version lacks to get all requests."""
    if view.new_slots < view.old_slots * MIN_SLOTS_PART or not view.new_slots:
        return 'too few servers'
    tally = view.tally
    if tally.exposed >= MIN_EXPOSED and not tally.ended(is_new=True):
        return 'no answers'
    return ''
