"""Answers of a zone's reader, on an event loop without a network."""

import asyncio
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.platform import HistoryGoneError, ReadResult, Row
from celerywharf.routing import AnswerTiming
from celerywharf.sharing import SharedTable, answer
from celerywharf.wire.sharing import WHOLE_TABLE, TableQuestion

scenarios('answers.feature')

EARLY_S = 0.02  # the clocks of event loop and test may differ by a tick
LATE_S = 0.15


class Exchange:
    """A request to a reader and its answer."""

    def __init__(self):
        self.table = SharedTable()
        self.question = None
        self.delayed_call = None
        self.reply = None
        self.took_s = 0

    def read_store(self, version, age_s=0, *, whole=False):
        """Let the reader read a version of the table from the store."""
        row = Row('a', b'{}', removed=False, version=version)
        reading = ReadResult((row,), version, AnswerTiming(1, 1, version))
        mirror = self.table.mirror
        (mirror.replace if whole else mirror.update)(reading)
        self.table.store_answer_s = time.monotonic() - age_s
        self.table.notify()

    async def send(self):
        """Send the request; run the delayed call meanwhile."""
        started_s = time.monotonic()
        if self.delayed_call is not None:
            asyncio.get_running_loop().call_later(*self.delayed_call)
        try:
            self.reply = await answer(self.table, self.question, time.monotonic)
        except CelerywharfError as error:
            self.reply = error
        self.took_s = time.monotonic() - started_s

    def check_time(self, after_s):
        """Send the request and check how long the answer took."""
        asyncio.run(self.send())
        assert after_s - EARLY_S <= self.took_s <= after_s + LATE_S


@pytest.fixture
def exchange():
    return Exchange()


@given(
    parsers.parse(
        'a reader that reached the store {age:g} s ago at version {version:d}',
    ),
)
def _reader(exchange, age, version):
    exchange.read_store(version, age, whole=True)


@given('a reader that has read nothing')
def _new_reader():
    """The table of a new reader is empty."""


@when(
    parsers.parse(
        'a front requests changes after {after:d}, waiting {wait:g} s'
    ),
)
def _request_changes(exchange, after, wait):
    exchange.question = TableQuestion('servers', after, wait)


@when(parsers.parse('a front requests the whole table, waiting {wait:g} s'))
def _request_table(exchange, wait):
    exchange.question = TableQuestion('servers', WHOLE_TABLE, wait)


@when(parsers.parse('version {version:d} is read after {delay:g} s'))
def _changes_later(exchange, version, delay):
    exchange.delayed_call = (delay, exchange.read_store, version)


@when(
    parsers.parse('the table is read after {delay:g} s at version {version:d}')
)
def _table_read_later(exchange, version, delay):
    exchange.delayed_call = (
        delay,
        lambda: exchange.read_store(version, whole=True),
    )


@then(
    parsers.re(
        r'the answer arrives after (?P<after>[\d.]+) s with (?P<count>\d) '
        r'rows? and version (?P<version>\d+)',
    ),
)
def _answered(exchange, after, count, version):
    exchange.check_time(float(after))
    assert len(exchange.reply.rows) == int(count)
    assert exchange.reply.version == int(version)


@then(
    parsers.parse(
        'the request fails after {after:g} s because the reader has no store',
    ),
)
def _store_unavailable(exchange, after):
    exchange.check_time(after)
    assert isinstance(exchange.reply, PlatformUnavailableError)
    assert not isinstance(exchange.reply, HistoryGoneError)


@then('the request fails because the changes are not kept')
def _history_gone(exchange):
    asyncio.run(exchange.send())
    assert isinstance(exchange.reply, HistoryGoneError)
