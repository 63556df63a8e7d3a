"""A running front whose store has forgotten its history."""

import asyncio
from random import Random

from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.fronts._watchers import ServerWatcher
from celerywharf.metrics import Metrics
from celerywharf.platform import HistoryGoneError, ReadResult, StoreEra
from celerywharf.routing import AnswerTiming
from celerywharf.timers import TimerService
from tests.virtual_loop import run_virtually

READS_AGAIN_S = 2.0


class ForgetfulStore:
    """Answers once, then has no history and refuses to give the table."""

    def __init__(self):
        self.era = StoreEra()
        self.readings = 0

    async def read(self, table):
        self.readings += 1
        if self.readings > 1:
            raise PlatformUnavailableError('busy')
        return ReadResult((), 1, AnswerTiming(0, 0, 0))

    async def watch(self, table, after, wait_s):
        raise HistoryGoneError('gone')


def test_a_front_that_reads_its_servers_again_stays_ready():
    async def play():
        store = ForgetfulStore()
        watcher = ServerWatcher(
            store,
            Random(1),
            ServerHealth(Directory(), Loads()),
            TimerService(),
            Metrics(),
        )
        assert not watcher.has_read
        await watcher._poll_once()
        assert watcher.has_read
        watcher.start()
        await asyncio.sleep(READS_AGAIN_S)
        assert store.readings > 2
        assert watcher.position is None
        assert watcher.has_read
        await watcher.stop()

    run_virtually(play)
