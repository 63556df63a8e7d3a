"""All hosts of a zone start at once and read a table of some thousand rows."""

import asyncio
import json
import logging
import math

import pytest

from celerywharf.platform import boot_time_s
from tests.sharing.simulated_fleet import Pipe, SimulatedFleet
from tests.virtual_loop import run_virtually

HOST_BYTES_PER_S = 10e6 / 8
KNOWN_S = 2.5
WAITED_S = 15.0
RECOVERS_S = 12.0
REGION_BYTES_PER_S = 30e6 / 8
LATE_S = 0.35
SAMPLE_S = 0.05
SERVERS = 3000


class Start:
    """A zone whose hosts start at the same moment.

    Attributes:
        known_s: when the last host knew all servers, seconds after the start.
        lost_readers: how often a host took its reader for lost until then.
        readers: how many hosts read for others then.
    """

    def __init__(self, hosts):
        names = [f'f{number}' for number in range(hosts)]
        self.fleet = SimulatedFleet(dict.fromkeys(names, 'north-0'))
        self.fleet.network.host_bytes_per_s = HOST_BYTES_PER_S
        for number in range(SERVERS):
            self.fleet.register(f'd{number + 3}')
        self.known_s = None
        self.lost_readers = 0
        self.readers = 0

    async def play(self):
        self.fleet.start()
        await self._wait_until_known()
        await self.fleet.stop()

    async def play_changes(self):
        """Let servers leave while the hosts read the table."""
        self.fleet.start()
        for number in range(SERVERS // 4):
            self.fleet.leave(f'd{number + 3}')
            if number % 50 == 0:
                await asyncio.sleep(SAMPLE_S)
        await self._wait_until_known()
        await self.fleet.stop()

    async def play_restart(self):
        """Let all hosts start anew."""
        self.fleet.start()
        await self._wait_until_known()
        for name in tuple(self.fleet.fronts):
            await self.fleet.restart(name)
        self.fleet.calls.clear()
        await self._wait_until_known()
        await self.fleet.stop()

    async def play_loss(self):
        """Let all hosts be lost at once and come back."""
        self.fleet.start()
        await self._wait_until_known()
        self.fleet.network.region = Pipe(REGION_BYTES_PER_S)
        for front in tuple(self.fleet.fronts.values()):
            await front.kill()
        self.fleet.start()
        await self._wait_until_known()
        await self.fleet.stop()

    def table_bytes(self):
        """Return the size of the store's answer with the whole table."""
        store = self.fleet.store
        return len(json.dumps(store.answer(store.rows('servers'))))

    async def _wait_until_known(self):
        began_s = boot_time_s()
        logger = logging.getLogger('celerywharf.sharing._store')
        logger.addFilter(self._count)
        while not self._all_known():
            assert boot_time_s() - began_s < WAITED_S
            await asyncio.sleep(SAMPLE_S)
        logger.removeFilter(self._count)
        self.known_s = boot_time_s() - began_s
        self.readers = sum(
            front.shared.is_reader for front in self.fleet.fronts.values()
        )

    def _count(self, record):
        self.lost_readers += record.msg == 'reader lost'
        return True

    def _all_known(self):
        servers = set(self.fleet.servers)
        return all(
            front.accepting == servers for front in self.fleet.fronts.values()
        )


# Readers encoded the table for each host and were taken for lost meanwhile.
@pytest.mark.parametrize('hosts', [7, 50, 100])
def test_hosts_that_start_at_once_do_not_lose_their_reader(hosts):
    start = Start(hosts)
    run_virtually(start.play)
    assert start.known_s < KNOWN_S
    assert start.lost_readers == 0


# The zone's row names the reader of before; it is replaced once.
def test_hosts_that_all_start_anew_soon_know_all_servers():
    start = Start(50)
    run_virtually(start.play_restart)
    assert start.known_s < KNOWN_S
    assert start.readers == 1


def test_servers_that_leave_while_the_table_is_read_are_not_used():
    start = Start(20)
    run_virtually(start.play_changes)
    assert start.known_s < KNOWN_S


# They all read the whole table over the link between the regions, whose
# answers then took longer still.
def test_hosts_far_from_a_slow_store_wait_for_their_reader():
    start = Start(100)
    start.fleet.network.region = Pipe(REGION_BYTES_PER_S)
    start.fleet.paths.late_s = LATE_S
    start.fleet.paths.late_until_s = dict.fromkeys(start.fleet.places, math.inf)
    run_virtually(start.play)
    assert start.known_s < RECOVERS_S
    carried_bytes = start.fleet.network.region.carried_bytes
    assert carried_bytes < 2 * start.table_bytes()


# Each asked the reader of before in vain, then read the whole table itself.
def test_hosts_far_from_the_store_that_were_all_lost_soon_know_all_servers():
    start = Start(100)
    run_virtually(start.play_loss)
    assert start.known_s < RECOVERS_S
    carried_bytes = start.fleet.network.region.carried_bytes
    assert carried_bytes < 2 * start.table_bytes()


def test_hosts_that_read_a_large_table_load_their_reader_little():
    start = Start(100)
    run_virtually(start.play)
    links = start.fleet.network.links.values()
    most_bytes = max(link.carried_bytes for link in links)
    # The store's answer to the reader and one table are most of it.
    assert most_bytes < 3 * start.table_bytes()
