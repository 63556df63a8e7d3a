"""Servers that want nothing from a host for a while, and what they say."""

import asyncio
from random import Random

import pytest

from celerywharf.backends import Directory
from celerywharf.limits import (
    Clocks,
    Grant,
    LimitLender,
    ServerLimiter,
    StatedLimits,
)
from celerywharf.platform import read_answer_headers
from tests.backends.test_directory import SERVICE, make_server

NAME = 's1/1'
MAX_SERVERS = 12_000


class Clock:
    """A clock that is set."""

    now_s = 0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def limiter(clock):
    return ServerLimiter(StatedLimits(), None, Clocks(clock, clock), Random(1))


def may_send(limiter, *, in_progress=False):
    return asyncio.run(limiter.acquire(NAME, in_progress=in_progress))


@pytest.mark.parametrize('in_progress', [False, True])
def test_a_server_gets_nothing_until_its_pause_ends(
    limiter, clock, in_progress
):
    limiter.pause(NAME, 5)
    clock.now_s = 4.9
    assert not may_send(limiter, in_progress=in_progress)
    assert limiter.is_limited(NAME)
    assert round(limiter.wait_s(NAME)) in {0, 1}
    clock.now_s = 6.1
    assert may_send(limiter, in_progress=in_progress)
    assert not limiter.is_limited(NAME)


def test_hosts_return_at_different_times(clock):
    ends_s = set()
    for seed in range(20):
        limiter = ServerLimiter(
            StatedLimits(), None, Clocks(clock, clock), Random(seed)
        )
        limiter.pause(NAME, 5)
        ends_s.add(round(limiter.wait_s(NAME), 2))
    assert len(ends_s) > 10


@pytest.mark.parametrize('pause_s', [300, 86400, 1e300])
def test_a_long_pause_is_kept_to_its_end(limiter, clock, pause_s):
    limiter.pause(NAME, pause_s)
    clock.now_s = 0.999 * pause_s
    assert not may_send(limiter)


@pytest.mark.parametrize('first_s', [6, 300])
@pytest.mark.parametrize('second_s', [0, 1, 5.9])
def test_a_shorter_pause_does_not_end_a_longer_one(
    limiter, clock, first_s, second_s
):
    limiter.pause(NAME, first_s)
    clock.now_s = 0.1
    limiter.pause(NAME, second_s)
    clock.now_s = first_s - 0.01
    assert not may_send(limiter)


def test_any_number_of_pauses_takes_bounded_memory(limiter):
    for number in range(100_000):
        limiter.pause(f's{number}/1', 5)
    assert len(limiter.pauses) <= MAX_SERVERS


def test_pauses_of_all_servers_of_a_large_system_are_kept(limiter, clock):
    names = [f's{number}/1' for number in range(MAX_SERVERS)]
    for name in names:
        limiter.pause(name, 60)
    clock.now_s = 59
    assert all(limiter.is_paused(name) for name in names)


def test_pauses_that_have_ended_make_room_first(limiter, clock):
    limiter.pause(NAME, 300)
    for number in range(MAX_SERVERS):
        limiter.pause(f's{number}/1', 1)
    clock.now_s = 2
    limiter.pause('new/1', 300)
    assert limiter.is_paused(NAME)
    assert limiter.is_paused('new/1')


class SlowLender(LimitLender):
    """Grants a request after the server has asked for a pause."""

    limiter = None

    async def ask(self, statement, *, in_progress):
        """Grant the request, late."""
        self.limiter.pause(NAME, 5)
        return Grant(granted=True)

    def tell(self, statement):
        """Do nothing."""


@pytest.mark.parametrize('in_progress', [False, True])
def test_a_pause_stops_requests_that_wait_for_a_grant(clock, in_progress):
    lender = SlowLender()
    limiter = ServerLimiter(StatedLimits(), lender, Clocks(clock, clock))
    lender.limiter = limiter
    limiter.record_answer(NAME, 'z1', 4, 0)
    assert not may_send(limiter, in_progress=in_progress)


@pytest.mark.parametrize(
    ('text', 'pause_s'),
    [
        ('3', 3),
        ('0.25', 0.25),
        ('86400', 86400),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('Wed, 21 Oct 2015 07:28:00 GMT', None),
        ('', None),
    ],
)
def test_only_plain_seconds_are_a_pause(text, pause_s):
    assert read_answer_headers({'retry-after': text}).pause_s == pause_s
    headers = read_answer_headers({'server-brittle': text})
    assert headers.refusals_per_s == pause_s


@pytest.mark.parametrize(
    ('headers', 'leaving'),
    [
        ({'server-leaving': '1'}, True),
        ({'server-leaving': '0'}, False),
        ({'server-leaving': ''}, False),
        ({}, False),
    ],
)
def test_a_server_says_that_it_leaves(headers, leaving):
    assert read_answer_headers(headers).leaving is leaving


def test_only_a_new_incarnation_ends_a_leaving():
    directory = Directory()
    directory.update(make_server('s1'), 0)
    directory.leaving('s1/1')
    assert not directory.usable(SERVICE)
    directory.update(make_server('s1', sequence=9), 1)
    assert not directory.usable(SERVICE)
    directory.update(make_server('s1', born_ms=2), 2)
    assert [server.born_ms for server in directory.usable(SERVICE)] == [2]
