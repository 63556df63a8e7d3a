"""Retries lent over a link whose answers are lost."""

import asyncio
import time
from random import Random

from celerywharf.exceptions import PeerUnreachableError
from celerywharf.retries import HostShare, RetryBudget, RetryLimiter
from celerywharf.sharing import Lending
from celerywharf.structures import Address

RATIO = 0.5
WINDOW_S = 10.0
SERVICE = 'service'
REQUESTS = 40
READER = Address('127.0.0.1', 1)


class Asker:
    """The authenticated other end of a link."""

    host = 'asker'


class ReaderLink:
    """Passes questions to a reader; each third answer is lost."""

    def __init__(self, reader):
        self.reader = reader
        self.questions = 0

    async def request(self, _address, question, _timeout_s):
        """Let the reader answer; lose its answer or return it."""
        self.questions += 1
        answer = await self.reader.answer(Asker(), question)
        if self.questions % 3 == 1:
            raise PeerUnreachableError('no answer in time')
        return answer


def make_lending():
    share = HostShare(0, 1, WINDOW_S, Random(1))
    return Lending(RATIO, 0, WINDOW_S, share)


async def retry_all():
    """Return the retries of a host that asks for one after each request."""
    reader = make_lending()
    reader.begin(after_another=False)
    asker = make_lending()
    asker.follow(READER, ReaderLink(reader))
    limiter = RetryLimiter(
        RetryBudget(RATIO, 0, WINDOW_S), time.monotonic, asker, asker.share
    )
    retries = 0
    for _ in range(REQUESTS):
        limiter.record_request(SERVICE)
        retries += await limiter.take(SERVICE, in_progress=True)
        retries += await limiter.take(SERVICE, in_progress=True)
    return retries


def test_requests_are_counted_once_although_answers_are_lost():
    assert 0 < asyncio.run(retry_all()) <= REQUESTS * RATIO


def test_a_front_that_is_not_the_reader_lends_nothing():
    async def ask():
        lending = make_lending()
        lending.follow(READER, ReaderLink(make_lending()))
        budget = RetryBudget(RATIO, 0, WINDOW_S)
        claim = budget.claim(SERVICE, time.monotonic(), in_progress=True)
        return await lending.borrow(claim)

    assert asyncio.run(ask()) is False


def test_without_a_reader_the_host_keeps_its_counts():
    lending = make_lending()
    budget = RetryBudget(RATIO, 0, WINDOW_S)
    limiter = RetryLimiter(budget, time.monotonic, lending, lending.share)
    limiter.record_request(SERVICE)
    assert not asyncio.run(limiter.take(SERVICE))
    limiter.record_request(SERVICE)
    assert asyncio.run(limiter.take(SERVICE))
    assert not asyncio.run(limiter.take(SERVICE))
