"""When all requests stay at the new version for good."""

import pytest

from celerywharf.rollouts import (
    RolloutBounds,
    RolloutStep,
    ServiceTally,
    Stage,
    StepDecider,
    View,
)

ROLLBACK_S = 5
STEP = RolloutStep('desk', 'v2', 7, 10, 0, stage=Stage.moving, move_s=9)


def _done_s(failed, ended):
    """Return when the last step is decided with these answers."""
    tally = ServiceTally('desk', 7, requests=300)
    tally.routes['look', True].ended = ended
    tally.routes['look', True].failed = failed
    tally.routes['look', False].ended = 200
    decider = StepDecider(RolloutBounds(0.1, 50, ROLLBACK_S))
    for tenth in range(80, 180):
        step = decider.decide(STEP, View(tally, 6, 6), tenth / 10)
        if step is not None:
            assert step.stage is Stage.done
            return tenth / 10
    raise AssertionError('never')


def test_good_answers_do_not_delay_the_last_step():
    """It comes before the deadline."""
    assert _done_s(1, 40) == pytest.approx(9.8)


def test_no_answers_do_not_delay_the_last_step():
    """Without evidence a version is in no doubt."""
    assert _done_s(0, 0) == pytest.approx(9.8)


def test_the_last_step_waits_while_answers_look_bad():
    """A version in doubt is watched for as long as the roll-back may take."""
    assert _done_s(3, 10) == pytest.approx(9.8 + ROLLBACK_S)
