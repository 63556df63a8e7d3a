"""Zones in which one front at a time may be the reader."""

import asyncio

import pytest

from celerywharf.platform import boot_time_s
from celerywharf.sharing._freshness import Inquiry
from tests.sharing.simulated_fleet import SimulatedFleet
from tests.sharing.test_freshness import Change
from tests.virtual_loop import run_virtually

FRONTS = ('f1', 'f2', 'f3', 'f4', 'f5')
SETTLES_S = 5.0
AFTER_STOP_S = 1.0
# The period of a reader's checks and the time of a check.
REPLACED_S = 10.5
OUTAGE_S = 30.0
STOOD_STILL_S = 2.0
WOKEN_S = 0.5
CHANGE_PERIOD_S = 0.1


def readers_of(fleet):
    return [
        name for name, front in fleet.fronts.items() if front.shared.is_reader
    ]


def followed_in(fleet):
    """Return the addresses of the readers that fronts follow."""
    elections = [front.shared.election for front in fleet.fronts.values()]
    return {each.reader.address for each in elections if each.reader}


async def begin():
    """Return a fleet of one zone, its reader and the other fronts."""
    fleet = SimulatedFleet(dict.fromkeys(FRONTS, 'north-1'))
    fleet.start()
    await asyncio.sleep(SETTLES_S)
    (reader,) = readers_of(fleet)
    return fleet, reader, [name for name in FRONTS if name != reader]


def replace_reader(fleet, name):
    """Let a front take its reader, which answers the others, for lost."""
    shared = fleet.fronts[name].shared
    assert shared.election.report_failure(shared.election.reader, boot_time_s())
    shared.lending.reader_lost()


@pytest.mark.parametrize('stopped_s', [1.6, 2.0, 4.0])
@pytest.mark.parametrize('phase_s', [0, 0.25, 0.5, 0.75])
def test_fronts_that_froze_do_not_replace_their_reader(stopped_s, phase_s):
    async def play():
        fleet, reader, others = await begin()
        await asyncio.sleep(phase_s)
        for index in (0, 1, 2, 1):
            fleet.paths.stop(others[index], stopped_s)
            await asyncio.sleep(stopped_s + AFTER_STOP_S)
            assert readers_of(fleet) == [reader]
        await fleet.stop()

    run_virtually(play)


def test_a_reader_that_was_replaced_while_it_is_asked_lends_no_more():
    async def play():
        fleet, reader, others = await begin()
        replace_reader(fleet, others[0])
        await asyncio.sleep(REPLACED_S)
        assert readers_of(fleet) == [others[0]]
        await asyncio.sleep(SETTLES_S)
        assert followed_in(fleet) == {fleet.fronts[others[0]].address}
        await fleet.stop()

    run_virtually(play)


def test_a_reader_replaced_while_it_stood_still_lends_no_more_when_it_wakes():
    async def play():
        fleet, _, others = await begin()
        replace_reader(fleet, others[0])
        await asyncio.sleep(AFTER_STOP_S)
        assert others[0] in readers_of(fleet)
        asyncio.get_running_loop().virtual_selector.now_s += STOOD_STILL_S
        await asyncio.sleep(WOKEN_S)
        assert readers_of(fleet) == [others[0]]
        await fleet.stop()

    run_virtually(play)


def test_fronts_know_a_change_in_time_while_their_reader_steps_down():
    async def play():
        fleet, _, others = await begin()
        replace_reader(fleet, others[0])
        changes = []
        ends_s = boot_time_s() + REPLACED_S + SETTLES_S
        while boot_time_s() < ends_s:
            changes.append(Change(fleet))
            await asyncio.sleep(CHANGE_PERIOD_S)
            for front in fleet.fronts.values():
                for change in changes:
                    change.check(front)
        await fleet.stop()

    run_virtually(play)


def test_a_reader_that_does_not_reach_the_store_remains_the_reader():
    async def play():
        fleet, reader, _ = await begin()
        fleet.paths.away_until_s = boot_time_s() + OUTAGE_S
        await asyncio.sleep(OUTAGE_S - 1)
        assert readers_of(fleet) == [reader]
        assert followed_in(fleet) == {fleet.fronts[reader].address}
        await asyncio.sleep(REPLACED_S)
        assert readers_of(fleet) == [reader]
        await fleet.stop()

    run_virtually(play)


def test_a_reader_that_is_silent_is_replaced_soon():
    async def play():
        fleet, reader, _ = await begin()
        fleet.paths.stop(reader, OUTAGE_S)
        await asyncio.sleep(SETTLES_S / 2)
        assert set(readers_of(fleet)) > {reader}
        await fleet.stop()

    run_virtually(play)


@pytest.mark.parametrize(
    ('waited_s', 'conclusive', 'shows'),
    [(1.31, True, True), (1.31, False, False), (2.1, True, False)],
)
def test_a_late_time_out_does_not_show_that_the_reader_has_failed(
    waited_s, conclusive, shows
):
    inquiry = Inquiry(0.8, 1.3, conclusive)
    assert inquiry.shows_failure(waited_s) is shows
