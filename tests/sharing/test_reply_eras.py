"""Replies of a reader while the store comes back from a copy."""

import math

import pytest

from celerywharf.exceptions import PeerUnreachableError
from celerywharf.platform import StoreEra
from celerywharf.sharing._replies import ReplyCheck
from celerywharf.wire.sharing import TableAnswer

CLOCK_S = 1000.0


def reply_of(era, store_s):
    return TableAnswer([], 1, store_s, era=era)


@pytest.fixture(name='replies')
def _replies():
    replies = ReplyCheck(StoreEra())
    replies.check(reply_of(1, CLOCK_S))
    return replies


@pytest.mark.parametrize('era', [1, 2])
def test_a_reader_that_has_confirmed_nothing_is_kept(replies, era):
    """Fronts replaced a sound reader whenever the store was restored."""
    replies.check(reply_of(era, -math.inf))
    replies.check(reply_of(era, CLOCK_S))


def test_clocks_of_two_eras_are_not_compared(replies):
    """Fronts that had heard of the era elsewhere replaced a sound reader."""
    replies.era.observe(2)
    replies.check(reply_of(2, CLOCK_S / 2))


@pytest.mark.parametrize('era', [1, 2])
def test_a_clock_that_goes_back_within_an_era_is_refused(replies, era):
    replies.check(reply_of(era, CLOCK_S))
    with pytest.raises(PeerUnreachableError):
        replies.check(reply_of(era, CLOCK_S / 2))


def test_a_reply_of_an_era_that_has_ended_is_refused(replies):
    replies.era.observe(2)
    with pytest.raises(PeerUnreachableError):
        replies.check(reply_of(1, CLOCK_S))
