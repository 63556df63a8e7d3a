"""When the store gave what is known, and how long one may wait for more."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celerywharf.routing import AnswerTiming
from celerywharf.sharing._freshness import (
    MAX_AGE_S,
    AnswerClock,
    Freshness,
    plan_inquiry,
    plan_poll,
)

DIFFERENCE_S = 500.0  # this host's clock minus the store's clock
CALL_S = 0.004
ROUNDING_S = 0.000001
delays_s = st.floats(0, 3)


@given(st.lists(st.tuples(delays_s, delays_s, delays_s), min_size=1))
def test_an_answer_is_never_dated_later_than_it_was_given(calls):
    clock = AnswerClock()
    now_s = 1000.0
    for there_s, held_s, back_s in calls:
        answered_s = now_s + there_s + held_s
        received_s = answered_s + back_s
        timing = AnswerTiming(now_s, received_s, answered_s - DIFFERENCE_S)
        dated_s = clock.answered_s(timing)
        assert now_s - ROUNDING_S <= dated_s <= answered_s + ROUNDING_S
        now_s = received_s


# An answer in the socket of a process that did not run was taken for new.
def test_an_answer_that_was_read_late_is_dated_by_the_store():
    clock = AnswerClock()
    clock.answered_s(AnswerTiming(1000, 1000.004, 500.002))
    dated_s = clock.answered_s(AnswerTiming(1000.004, 1004, 501.004))
    assert dated_s == pytest.approx(1001.002, abs=0.01)


def test_a_clock_of_the_store_that_was_set_is_followed():
    clock = AnswerClock()
    clock.answered_s(AnswerTiming(1000, 1000.004, 500.002))
    for store_s in (20, 9000):
        dated_s = clock.answered_s(AnswerTiming(1001, 1001 + CALL_S, store_s))
        assert 0 <= dated_s - 1001 <= CALL_S


@given(st.floats(-5, 5))
def test_no_wait_outlasts_the_time_that_is_left(left_s):
    inquiry = plan_inquiry(left_s)
    if inquiry is not None:
        assert inquiry.wait_s < inquiry.timeout_s <= left_s + ROUNDING_S
    poll = plan_poll(left_s, 2.0, 0.8)
    if not poll.fresh_connection:
        assert poll.wait_s + poll.slack_s <= left_s + ROUNDING_S


def test_what_is_relied_on_ages_from_the_answer():
    freshness = Freshness()
    freshness.confirm(1000)
    freshness.confirm(999)
    assert freshness.left_s(1001) == pytest.approx(MAX_AGE_S - 1)
