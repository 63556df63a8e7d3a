"""Answers of a reader, on a loop without a network."""

import asyncio
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.exceptions import CelerywharfError, PlatformUnavailableError
from celerywharf.platform import HistoryGoneError, ReadResult, Row
from celerywharf.routing import Sighting
from celerywharf.sharing import SharedTable, answer
from celerywharf.wire.sharing import WHOLE_TABLE, TableQuestion

scenarios('answers.feature')

EARLY_S = 0.02  # clocks of loop and test may differ by a tick
LATE_S = 0.15


class Asked:
    """A reader, a question and its answer."""

    def __init__(self):
        self.table = SharedTable()
        self.question = None
        self.later = None
        self.told = None
        self.took_s = 0

    def heard(self, version, age_s=0, *, whole=False):
        """Let the reader hear the store."""
        row = Row('a', b'{}', removed=False, version=version)
        reading = ReadResult((row,), version, Sighting(1, 1, version))
        mirror = self.table.mirror
        (mirror.replace if whole else mirror.update)(reading)
        self.table.heard_s = time.monotonic() - age_s
        self.table.wake()

    async def ask(self):
        """Ask and let what is to come happen."""
        started_s = time.monotonic()
        if self.later is not None:
            asyncio.get_running_loop().call_later(*self.later)
        try:
            self.told = await answer(self.table, self.question, time.monotonic)
        except CelerywharfError as error:
            self.told = error
        self.took_s = time.monotonic() - started_s

    def check_time(self, after_s):
        """Ask now and check how long it took."""
        asyncio.run(self.ask())
        assert after_s - EARLY_S <= self.took_s <= after_s + LATE_S


@pytest.fixture
def asked():
    return Asked()


@given(
    parsers.parse(
        'a reader that heard the store {age:g} s ago at version {version:d}',
    ),
)
def _reader(asked, age, version):
    asked.heard(version, age, whole=True)


@given('a reader that has read nothing')
def _new_reader():
    """The table of a new reader is empty."""


@when(
    parsers.parse('a front asks for changes after {after:d}, for {wait:g} s'),
)
def _ask(asked, after, wait):
    asked.question = TableQuestion('servers', after, wait)


@when(parsers.parse('a front asks for the whole table, for {wait:g} s'))
def _ask_all(asked, wait):
    asked.question = TableQuestion('servers', WHOLE_TABLE, wait)


@when(parsers.parse('version {version:d} comes after {delay:g} s'))
def _comes(asked, version, delay):
    asked.later = (delay, asked.heard, version)


@when(parsers.parse('the table comes after {delay:g} s at version {version:d}'))
def _table_comes(asked, version, delay):
    asked.later = (delay, lambda: asked.heard(version, whole=True))


@then(
    parsers.re(
        r'the answer came after (?P<after>[\d.]+) s with (?P<count>\d) rows? '
        r'and version (?P<version>\d+)',
    ),
)
def _answered(asked, after, count, version):
    asked.check_time(float(after))
    assert len(asked.told.rows) == int(count)
    assert asked.told.version == int(version)


@then(
    parsers.parse(
        'it is told after {after:g} s that the reader hears no store',
    ),
)
def _deaf(asked, after):
    asked.check_time(after)
    assert isinstance(asked.told, PlatformUnavailableError)
    assert not isinstance(asked.told, HistoryGoneError)


@then('it is told to read the whole table')
def _gone(asked):
    asyncio.run(asked.ask())
    assert isinstance(asked.told, HistoryGoneError)
