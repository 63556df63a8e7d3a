"""Bounds of the store's clock, with clocks that drift and late answers.

A host took a late answer for the store's time and accepted revoked keys.
"""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerywharf.routing import AnswerTiming, ConfigurationCache, StoreClock
from celerywharf.routing._store_clock import MAX_DRIFT
from celerywharf.sharing._store_clock import relayed_offset, with_store_clock
from celerywharf.wire.sharing import TableAnswer

DIFFERENCE_S = 500.0  # this host's clock minus the store's clock
CALL_S = 0.004
ROUNDING_S = 0.000001
LEASE_S = 5.0
delays_s = st.floats(0, 3)
rates = st.floats(1 - MAX_DRIFT / 2, 1 + MAX_DRIFT / 2)


def learn(clock, timing):
    clock.learn(timing)
    return clock.date(timing)


@given(st.lists(st.tuples(delays_s, delays_s, delays_s), min_size=1))
def test_an_answer_is_never_dated_later_than_it_was_given(calls):
    clock = StoreClock()
    now_s = 1000.0
    for there_s, held_s, back_s in calls:
        answered_s = now_s + there_s + held_s
        received_s = answered_s + back_s
        timing = AnswerTiming(now_s, received_s, answered_s - DIFFERENCE_S)
        dated_s = learn(clock, timing)
        assert now_s - ROUNDING_S <= dated_s <= answered_s + ROUNDING_S
        now_s = received_s


# An answer in the socket of a process that did not run was taken for new.
def test_an_answer_that_was_read_late_is_dated_by_the_store():
    clock = StoreClock()
    learn(clock, AnswerTiming(1000, 1000.004, 500.002))
    dated_s = learn(clock, AnswerTiming(1000.004, 1004, 501.004))
    assert dated_s == pytest.approx(1001.002, abs=0.01)


def test_a_clock_of_the_store_that_was_set_is_followed():
    clock = StoreClock()
    learn(clock, AnswerTiming(1000, 1000.004, 500.002))
    for store_s in (20, 9000):
        dated_s = learn(clock, AnswerTiming(1001, 1001 + CALL_S, store_s))
        assert 0 <= dated_s - 1001 <= CALL_S


@dataclass
class Host:
    """A host whose clock drifts.

    Attributes:
        rate: seconds of its clock in a second.
        known_s: true time at which the store gave what the host knows.
    """

    rate: float
    start_s: float
    cache: ConfigurationCache = field(
        default_factory=lambda: ConfigurationCache(LEASE_S)
    )
    known_s: float = float('-inf')

    def clock_s(self, true_s):
        return self.start_s + true_s * self.rate

    def confirm(self, timing, known_s):
        self.cache.confirm(timing)
        self.known_s = max(self.known_s, known_s)

    def accepts_too_long(self):
        """Return whether a key revoked at the next moment is accepted late."""
        ends_s = self.known_s + LEASE_S
        return self.cache.accepts_keys(self.clock_s(ends_s))


class Scene:
    """A store, its clock in the present era, and two hosts of a zone."""

    def __init__(self, rates_drawn):
        store_rate, reader_rate, follower_rate = rates_drawn
        self.store_rate = store_rate
        self.store_start_s = 50.0
        self.era = 1
        self.now_s: float = 0
        self.reader = Host(reader_rate, 700.0)
        self.follower = Host(follower_rate, 900.0)

    def store_s(self, true_s):
        return self.store_start_s + true_s * self.store_rate

    def call(self, host, there_s, back_s):
        """Call the store; freezes of the host count as time on the way."""
        sent_s = host.clock_s(self.now_s)
        answered_s = self.now_s + there_s
        self.now_s = answered_s + back_s
        timing = AnswerTiming(
            sent_s,
            host.clock_s(self.now_s),
            self.store_s(answered_s),
            era=self.era,
        )
        host.confirm(timing, answered_s)

    def relay(self, there_s, held_s, back_s):
        """Have the reader answer the follower, after a time."""
        reader, follower = self.reader, self.follower
        sent_s = follower.clock_s(self.now_s)
        arrived_s = reader.clock_s(self.now_s + there_s)
        replied_s = reader.clock_s(self.now_s + there_s + held_s)
        self.now_s += there_s + held_s + back_s
        reply = TableAnswer(
            [], 1, reader.cache.confirmed_store_s, era=reader.cache.era
        )
        reply = with_store_clock(
            reply, reader.cache.clock, arrived_s, replied_s
        )
        received_s = follower.clock_s(self.now_s)
        timing = AnswerTiming(
            sent_s,
            received_s,
            reply.store_s,
            relayed=True,
            era=reply.era,
            offset=relayed_offset(reply, sent_s, received_s),
        )
        if reply.era and reply.era >= follower.cache.era:
            follower.confirm(timing, reader.known_s)

    def begin_era(self, set_s):
        """Bring the store back from a copy, with its clock set."""
        self.era += 1
        self.store_start_s += set_s


steps = st.lists(
    st.one_of(
        st.tuples(st.just('read'), delays_s, delays_s),
        st.tuples(st.just('follow'), delays_s, delays_s),
        st.tuples(st.just('relay'), delays_s, delays_s, delays_s),
        st.tuples(st.just('wait'), st.floats(0, 1000)),
        st.tuples(st.just('era'), st.floats(-100, 100)),
    ),
    max_size=30,
)


# Freezes, readers, relays, eras and drift in any order.
@settings(max_examples=500, deadline=None)
@given(st.tuples(rates, rates, rates), steps)
def test_no_host_accepts_a_revoked_key_for_longer_than_its_lease(drawn, played):
    scene = Scene(drawn)
    for step in played:
        match step:
            case ('read', there_s, back_s):
                scene.call(scene.reader, there_s, back_s)
            case ('follow', there_s, back_s):
                scene.call(scene.follower, there_s, back_s)
            case ('relay', there_s, held_s, back_s):
                scene.relay(there_s, held_s, back_s)
            case ('wait', wait_s):
                scene.now_s += wait_s
            case ('era', set_s):
                scene.begin_era(set_s)
        assert not scene.reader.accepts_too_long()
        assert not scene.follower.accepts_too_long()
