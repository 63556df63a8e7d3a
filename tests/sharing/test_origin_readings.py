"""What a host takes for known of software versions after a gap."""

import asyncio

import pytest

from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.origins import VersionEntry, VersionHistory
from celerywharf.sharing import _origin_readings
from celerywharf.sharing._origin_readings import OriginReadings

SERVICE = 'narrator'


class Rows:
    """Rows of a store that answers, refuses or hangs."""

    def __init__(self):
        self.is_read = False
        self.versions = ('v1',)
        self.calls = []
        self.refusals = 0
        self.answers = asyncio.Event()
        self.answers.set()

    async def read(self):
        """Read all rows."""
        entries = await self._answer('all')
        self.is_read = True
        return entries

    async def read_versions(self):
        """Read the rows of versions."""
        return await self._answer('versions')

    async def _answer(self, kind):
        self.calls.append(kind)
        await asyncio.sleep(0)
        await self.answers.wait()
        if self.refusals:
            self.refusals -= 1
            raise PlatformUnavailableError('busy')
        return {
            SERVICE: [VersionEntry(each, None, ()) for each in self.versions]
        }


class Host:
    """A host with the clock that counts suspensions."""

    def __init__(self):
        self.now_s = 100.0
        self.rows = Rows()
        self.history = VersionHistory()
        self.readings = OriginReadings(self.rows, self.history)

    async def ask(self):
        """Ask which versions are recorded; None if that is not confirmed."""
        asked_s = self.now_s
        await self.readings.confirm(asked_s)
        if self.readings.is_confirmed(asked_s):
            return set(self.history.entries[SERVICE])
        return None


@pytest.fixture
def host(monkeypatch):
    host = Host()
    monkeypatch.setattr(_origin_readings, 'boot_time_s', lambda: host.now_s)
    return host


def test_versions_read_before_a_suspension_are_read_again(host):
    async def play():
        assert await host.ask() == {'v1'}
        host.rows.versions = ('v1', 'v2')
        host.now_s += 5
        assert await host.ask() == {'v1', 'v2'}

    asyncio.run(play())


@pytest.mark.parametrize('gap_s', [0.2, 0.9, 5])
def test_versions_read_before_a_gap_do_not_count_without_the_store(host, gap_s):
    async def play():
        assert await host.ask() == {'v1'}
        host.rows.answers.clear()
        host.now_s += gap_s
        assert await host.ask() is None

    asyncio.run(play())


def test_an_answer_to_a_call_from_before_a_freeze_does_not_count(host):
    async def play():
        host.rows.is_read = True
        host.rows.answers.clear()
        before = asyncio.create_task(host.ask())
        await asyncio.sleep(0.01)
        host.now_s += 5
        host.rows.answers.set()
        host.rows.versions = ('v1', 'v2')
        assert await host.ask() == {'v1', 'v2'}
        await before
        assert len(host.rows.calls) == 2

    asyncio.run(play())


def test_questions_that_come_at_once_share_a_reading(host):
    async def play():
        replies = await asyncio.gather(*(host.ask() for _ in range(50)))
        assert all(versions == {'v1'} for versions in replies)
        assert host.rows.calls == ['all']

    asyncio.run(play())


def test_rows_of_streams_are_read_at_most_once_a_second(host):
    async def play():
        for _ in range(5):
            await host.ask()
            host.now_s += 0.21
        assert host.rows.calls[0] == 'all'
        assert host.rows.calls.count('versions') == 4

    asyncio.run(play())


def test_a_store_that_refuses_a_call_is_asked_again(host):
    host.rows.refusals = 1
    assert asyncio.run(host.ask()) == {'v1'}


def test_a_store_that_refuses_all_calls_confirms_nothing(host):
    host.rows.refusals = 1000
    assert asyncio.run(host.ask()) is None
    assert len(host.rows.calls) < 10


def test_rows_of_streams_are_read_again_after_a_refusal(host):
    async def play():
        await host.ask()
        host.now_s += 5
        host.rows.refusals = 1
        assert await host.ask() == {'v1'}
        assert 'versions' not in host.rows.calls

    asyncio.run(play())
