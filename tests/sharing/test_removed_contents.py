"""What hosts keep of large entries that are gone."""

import asyncio
import json
from random import Random

from tests.sharing.simulated_fleet import SimulatedFleet
from tests.virtual_loop import run_virtually

PLACES = {'f1': 'north-0', 'f2': 'north-0'}
ROWS = 30
ROW_BYTES = 60_000
SETTLES_S = 4.0
MAX_KEPT_BYTES = 8 * ROW_BYTES  # of four contents in both forms
ENTRY = {
    'service': 'other',
    'address': '127.0.0.1:9',
    'zone': 'north-1',
    'state': 'ready',
    'slots': 4,
}


def kept_bytes(front):
    exchange = front.shared.exchange
    return sum(
        len(each.plain) + len(each.packed)
        for each in exchange.cache.by_digest.values()
    )


async def measure():
    """Return the bytes of contents that each front keeps at the end."""
    fleet = SimulatedFleet(PLACES)
    fleet.start()
    await asyncio.sleep(SETTLES_S)
    random = Random(1)
    names = [f'other-{number}' for number in range(ROWS)]
    for name in names:
        note = random.randbytes(ROW_BYTES // 2).hex()
        content = json.dumps({**ENTRY, 'note': note})
        fleet.store.put('servers', name, content)
    await asyncio.sleep(SETTLES_S)
    for name in names:
        fleet.store.put('servers', name, None)
    await asyncio.sleep(SETTLES_S)
    kept = {name: kept_bytes(each) for name, each in fleet.fronts.items()}
    await fleet.stop()
    return kept


# Contents were dropped only when another one came.
def test_contents_of_removed_entries_do_not_stay_in_memory():
    kept = {}

    async def play():
        kept.update(await measure())

    run_virtually(play)
    assert max(kept.values()) < MAX_KEPT_BYTES, kept
