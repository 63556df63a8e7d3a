"""The first exchange of quarantine records of a host that has started."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.platform import ReadResult, Row
from celerywharf.quarantine import Loss, LossRecord, LossRegister
from celerywharf.routing import AnswerTiming
from celerywharf.sharing import QuarantineExchange
from celerywharf.sharing._quarantine_rows import encode_record
from tests.virtual_loop import run_virtually

RECORD = LossRecord('part', 1, (Loss(1, 'i1/1', 'north-1', begun=True),))
START_S = 10


class Rows:
    """A store that answers readings, if at all."""

    def __init__(self, *, is_away):
        self.is_away = is_away
        self.readings = 0

    async def read(self, _table):
        """Return the row of a record."""
        self.readings += 1
        if self.is_away:
            raise PlatformUnavailableError('away')
        row = Row('part', encode_record(RECORD), removed=False, version=1)
        return ReadResult((row,), 1, AnswerTiming(0, 0, 0))


@pytest.mark.parametrize('is_away', [False, True])
def test_a_host_whose_zone_elects_no_reader_begins_with_the_store(is_away):
    store = Rows(is_away=is_away)
    shared_store = SimpleNamespace(
        is_reader=False,
        client=None,
        election=SimpleNamespace(reader=None),
        server=SimpleNamespace(subscribe=lambda *_: None),
    )
    register = LossRegister(Random(1))
    exchange = QuarantineExchange(register, store, shared_store, Random(1))

    async def play():
        exchange.start()
        await asyncio.sleep(START_S)
        await exchange.stop()

    run_virtually(play)
    assert exchange.has_begun
    assert store.readings == 1
    assert (RECORD in register.records.values()) is not is_away
