"""How long one may wait for more than what is known."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celerywharf.sharing._freshness import (
    MAX_AGE_S,
    Freshness,
    plan_inquiry,
    plan_poll,
)

ROUNDING_S = 0.000001


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
