"""Many large rows beside the entries of servers, in virtual time."""

import asyncio
import json
from random import Random

import pytest

from celerywharf.platform import boot_time_s
from celerywharf.sharing._contents import ContentCache
from tests.sharing.simulated_fleet import SimulatedFleet
from tests.virtual_loop import run_virtually

PLACES = {'f1': 'north-0', 'f2': 'north-0', 'f3': 'north-1', 'f4': 'north-1'}
KILOBYTE = 1000
SETTLES_S = 4.0
FOUND_S = 2.5
RECOVERS_S = 12.0
SAMPLE_S = 0.05
WRITERS = {
    'text': lambda noise: noise,
    'nested lists': lambda noise: '[' * len(noise) + noise,
    'sound': lambda noise: json.dumps(_sound(noise)),
}


def _sound(note):
    return {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'north-1',
        'state': 'ready',
        'slots': 4,
        'seq': 1,
        'born': 1,
        'note': note,
    }


def drop_all_but_four(cache):
    for digest in tuple(cache.by_digest)[:-4]:
        cache.by_plain.pop(cache.by_digest.pop(digest).plain)


class Writer:
    """Writes rows of another writer into the table of servers.

    Attributes:
        found_s: how long it took until all fronts knew a new server.
        recovered_s: how long it took after all fronts were killed.
        kept_bytes: contents that each front kept before that.
        content_bytes: what fronts had sent each other of contents.
    """

    def __init__(self, rows, row_bytes, kind):
        self.fleet = SimulatedFleet(PLACES)
        self.rows = [f'other-{number}' for number in range(rows)]
        self.row_bytes = row_bytes
        self.kind = kind
        self.random = Random(1)
        self.found_s = None
        self.recovered_s = None
        self.kept_bytes = {}
        self.content_bytes = 0

    async def play(self):
        fleet = self.fleet
        fleet.start()
        await asyncio.sleep(SETTLES_S)
        for name in self.rows:
            self.write(name)
        await asyncio.sleep(SETTLES_S)
        fleet.register('d3')
        self.found_s = await self.wait_until_known()
        self._measure()
        for name in PLACES:
            await fleet.restart(name)
        self.recovered_s = await self.wait_until_known()
        await fleet.stop()

    def write(self, name):
        """Write a row whose content differs from all others."""
        noise = self.random.randbytes(self.row_bytes // 2).hex()
        self.fleet.store.put('servers', name, WRITERS[self.kind](noise))

    async def wait_until_known(self):
        """Return after how many seconds all fronts know all servers."""
        began_s = boot_time_s()
        while not self._all_known():
            if boot_time_s() - began_s > RECOVERS_S:
                return None
            await asyncio.sleep(SAMPLE_S)
        return boot_time_s() - began_s

    def _measure(self):
        for name, front in self.fleet.fronts.items():
            table = front.shared.tables['servers']
            self.kept_bytes[name] = sum(
                len(row.content or b'') for row in table.mirror.current_rows()
            )
            metrics = front.shared.metrics
            self.content_bytes += metrics.total('content_bytes_sent')

    def _all_known(self):
        servers = set(self.fleet.servers)
        if self.kind == 'sound':
            servers.update(self.rows)
        return all(
            front.accepting == servers and front.watchers[1].position
            for front in self.fleet.fronts.values()
        )


# The cache of contents was smaller than one answer, so no answer became whole.
@pytest.mark.parametrize('kind', WRITERS)
@pytest.mark.parametrize(
    ('rows', 'row_kilobytes'), [(4, 60), (6, 9), (20, 10), (60, 60)]
)
def test_hosts_beside_many_large_rows_follow_the_servers_and_recover(
    rows, row_kilobytes, kind
):
    writer = Writer(rows, row_kilobytes * KILOBYTE, kind)
    run_virtually(writer.play)
    assert writer.found_s is not None
    assert writer.recovered_s is not None
    assert writer.found_s < FOUND_S
    assert writer.recovered_s < RECOVERS_S


# A reader of an earlier build drops contents before they are asked for.
def test_hosts_whose_reader_lacks_contents_read_the_store(monkeypatch):
    monkeypatch.setattr(ContentCache, 'drop_unused', drop_all_but_four)
    writer = Writer(20, 10 * KILOBYTE, 'sound')
    run_virtually(writer.play)
    assert writer.found_s is not None
    assert writer.found_s < RECOVERS_S
    assert writer.recovered_s is not None
    assert writer.recovered_s < RECOVERS_S


# Entries that no host can use filled its memory and the links of its zone.
@pytest.mark.parametrize('kind', ['text', 'nested lists'])
def test_large_malformed_rows_stay_neither_on_hosts_nor_on_their_links(kind):
    writer = Writer(60, 60 * KILOBYTE, kind)
    run_virtually(writer.play)
    assert writer.content_bytes < 100 * KILOBYTE
    assert max(writer.kept_bytes.values()) < 100 * KILOBYTE
