"""How long fronts in touch with the store may not know a change."""

import asyncio
import os

import pytest
from hypothesis import Phase, example, given, seed, settings
from hypothesis import strategies as st

from celerywharf.platform import boot_time_s
from tests.sharing.simulated_fleet import SimulatedFleet
from tests.virtual_loop import run_virtually

# Requests sent this long after the store's acknowledgement follow the change.
APPLY_S = 2.5
# One zone with followers, one with a reader alone.
PLACES = {
    'f1': 'north-1',
    'f2': 'north-1',
    'f3': 'north-1',
    'f4': 'north-1',
    'g1': 'north-2',
}
SETTLES_S = 5.0
WATCHED_S = 8.0
SAMPLE_S = 0.01
COUNTED_S = 60.0
EXAMPLES = int(os.environ.get('FRESHNESS', '50'))
bounded = settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=(Phase.explicit, Phase.generate),  # shrinking takes minutes
    print_blob=True,
)
seeded = seed(int(os.environ.get('FRESHNESS_SEED', '46')))
troubles = st.sampled_from(('cut', 'frozen', 'refused', 'killed', 'silent'))


class Change:
    """A new configuration and a server that leaves, both at once."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged_s = boot_time_s()
        fleet.configure()
        fleet.say_leaving('d2')
        self.version = fleet.version

    def check(self, front):
        """Check that a front follows the change once it has to."""
        since_s = boot_time_s() - self.acknowledged_s
        if since_s < APPLY_S:
            return
        known = front.cache.configuration.version
        assert known >= self.version, (front.name, since_s, 'configuration')
        accepting = front.accepting
        assert 'd2' not in accepting, (front.name, since_s, 'leaving server')


def reader_of(fleet, zone):
    """Return the name of the front that reads the store for its zone.

    While the zone elects one, that is the first front that is left.
    """
    fronts = [each for each in fleet.fronts.values() if each.zone == zone]
    readers = [each for each in fronts if each.shared.is_reader]
    return (readers or fronts)[0].name


async def disturb(fleet, trouble, name, span_s):
    """Let a trouble begin; return the fronts that are not in touch."""
    ends_s = boot_time_s() + span_s
    match trouble:
        case 'cut':
            fleet.paths.cut_until_s[name] = ends_s
        case 'frozen':
            fleet.paths.frozen_until_s[name] = ends_s
        case 'refused':
            fleet.paths.refused_until_s[name] = ends_s
        case 'killed':
            await fleet.restart(name)
        case 'silent':
            for front in fleet.fronts.values():
                front.transport.silence()
            return set()
    return {name}


async def play(steps, change_after_s, zone='north-1'):
    """Play troubles of the reader around a change and check who knows it.

    Args:
        steps: wait before a trouble of the zone's reader, the trouble and how
            long it lasts.
        change_after_s: when the change comes, after the first trouble.
        zone: availability zone of the reader.
    """
    fleet = SimulatedFleet(PLACES)
    fleet.start()
    await asyncio.sleep(SETTLES_S)
    affected = set()
    changes = []

    async def change():
        await asyncio.sleep(change_after_s)
        changes.append(Change(fleet))

    async def trouble():
        for wait_s, kind, span_s in steps:
            await asyncio.sleep(wait_s)
            name = reader_of(fleet, zone)
            affected.update(await disturb(fleet, kind, name, span_s))

    await asyncio.sleep(steps[0][0])
    steps = [(0, *steps[0][1:]), *steps[1:]]
    tasks = [asyncio.ensure_future(trouble()), asyncio.ensure_future(change())]
    ends_s = boot_time_s() + WATCHED_S
    while boot_time_s() < ends_s:
        for front in fleet.fronts.values():
            if front.name not in affected:
                for each in changes:
                    each.check(front)
        await asyncio.sleep(SAMPLE_S)
    await asyncio.gather(*tasks)
    await fleet.stop()


spans_s = st.floats(0.3, 5.5)
steps = st.lists(
    st.tuples(st.floats(0, 2.2), troubles, spans_s), min_size=1, max_size=3
)


# A reader that lost the store went on to hold questions, and the other fronts
# read the store only after 2.8 s.
@seeded
@bounded
@given(steps, st.floats(-0.2, 2.0))
@example([(1.75, 'cut', 3.0)], 1.0)
@example([(1.0, 'cut', 3.0)], 1.0)
def test_fronts_in_touch_know_a_change_in_time(steps, change_after_s):
    run_virtually(lambda: play(steps, max(change_after_s, 0)))


@seeded
@bounded
@given(st.floats(0, 3), st.floats(0, 2.0))
def test_a_reader_alone_knows_a_change_on_silent_connections(wait_s, after_s):
    silence = [(wait_s, 'silent', 0)]
    run_virtually(lambda: play(silence, after_s, 'north-2'))


@pytest.mark.parametrize('followers', [1, 6, 29])
def test_followers_call_the_store_for_no_table_in_calm(followers):
    async def count():
        places = {f'f{number}': 'north-1' for number in range(followers + 1)}
        fleet = SimulatedFleet(places)
        fleet.start()
        await asyncio.sleep(2 * SETTLES_S)
        reader = reader_of(fleet, 'north-1')
        fleet.calls.clear()
        for _ in range(3):
            fleet.configure()
            await asyncio.sleep(COUNTED_S / 3)
        assert set(fleet.calls) == {reader}, fleet.calls
        await fleet.stop()

    run_virtually(count)
