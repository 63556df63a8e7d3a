"""Readers of other zones that are replaced while the store is there."""

import asyncio
from types import SimpleNamespace

import pytest

from celerywharf.sharing._reader_discovery import ReaderDiscovery
from celerywharf.wire.origins import OriginAnswer
from tests.virtual_loop import run_virtually

ZONE = 'north-2'
LOOKED_UP_S = 1.5


class Readers:
    """Readers of other zones, as of the last lookup.

    Attributes:
        rows: what the store names.
        failures: how many requests fail.
        announced: zones whose readers were told.
        lookups: how often the rows were read.
    """

    def __init__(self, rows, failures=0):
        self.rows = rows
        self.readers = {}
        self.failures = failures
        self.announced = []
        self.lookups = 0

    async def refresh(self):
        """Read the rows."""
        self.lookups += 1
        self.readers = dict(self.rows)

    async def request(self, zone, *_):
        """Fail, or return the answer to an announcement."""
        if self.failures:
            self.failures -= 1
            raise ConnectionError
        self.announced.append(zone)
        return OriginAnswer([])


async def _begin(readers, zone_hosts=2, *, is_reader=True):
    shared_store = SimpleNamespace(
        is_reader=is_reader,
        elected_subscribers=[],
        lending=SimpleNamespace(share=SimpleNamespace(zone_hosts=zone_hosts)),
    )
    discovery = ReaderDiscovery(shared_store, readers, [ZONE])
    discovery.start()
    for subscriber in shared_store.elected_subscribers if is_reader else ():
        subscriber()
    return discovery


@pytest.mark.parametrize('failures', [0, 2])
def test_a_reader_announces_itself_until_another_zones_reader_has_answered(
    failures,
):
    async def play():
        readers = Readers({ZONE: 'f3'}, failures)
        discovery = await _begin(readers)
        await asyncio.sleep(30)
        await discovery.stop()
        assert readers.announced == [ZONE]

    run_virtually(play)


@pytest.mark.parametrize('phase_s', [0.1, 10, 25])
def test_a_reader_that_was_announced_is_known_soon(phase_s):
    async def play():
        readers = Readers({ZONE: 'f3'})
        discovery = await _begin(readers)
        await asyncio.sleep(phase_s)
        readers.rows[ZONE] = 'f4'
        discovery.look_up_soon()
        await asyncio.sleep(LOOKED_UP_S)
        await discovery.stop()
        assert readers.readers == {ZONE: 'f4'}

    run_virtually(play)


def test_a_front_learns_the_first_reader_of_a_zone_soon_after_its_start():
    async def play():
        readers = Readers({})
        discovery = await _begin(readers, is_reader=False)
        await asyncio.sleep(20)
        readers.rows[ZONE] = 'f3'
        await asyncio.sleep(LOOKED_UP_S)
        await discovery.stop()
        assert readers.readers == {ZONE: 'f3'}
        assert not readers.announced

    run_virtually(play)


def test_many_fronts_that_know_no_reader_spare_the_store():
    async def play():
        readers = Readers({})
        discovery = await _begin(readers, zone_hosts=166, is_reader=False)
        await asyncio.sleep(300)
        await discovery.stop()
        assert readers.lookups <= 15

    run_virtually(play)
