"""Where copies of runs stand when zones of engines fail one after the other."""

import asyncio
from dataclasses import replace

import pytest

from celerywharf.forwarding._outcomes import SILENCE, Lost
from celerywharf.forwarding._stream_sends import StreamPlacement
from celerywharf.platform import Resumption
from celerywharf.structures import Address
from tests.backends.test_directory import make_server
from tests.forwarding.test_handover import FIRST, SECOND, Rig

BROKEN = Lost('reset', broken=True)
LOADED_TOKENS = 8_000
THIRD = make_server('e3', 'north-3', address=Address('127.0.0.1', 3))
IDLE = make_server('e4', FIRST.availability_zone, address=Address('::1', 4))


def _rig():
    """Return a stream at the first engine with a copy at the second.

    The zone of the first engine has an idle one, the third engine is loaded.
    """
    rig = Rig()
    for server in (THIRD, IDLE):
        rig.context.health.directory.update(server, 0)
    rig.context.loads.started(THIRD.name, LOADED_TOKENS, 0)
    rig.silent.placement = replace(rig.silent.placement, backup=SECOND)
    return rig


@pytest.mark.parametrize('outcome', [BROKEN, SILENCE], ids=['lost', 'silent'])
def test_a_resumed_run_keeps_its_next_copy_out_of_the_zone_that_failed(outcome):
    async def check():
        rig = _rig()
        rig.forwarding.conclude(rig.silent, outcome)
        return await rig.forwarding.place()

    assert asyncio.run(check()) == StreamPlacement(
        SECOND, Resumption(3, SECOND.address), THIRD
    )


def test_a_successor_of_a_silent_send_does_so_before_the_silence_has_ended():
    async def check():
        rig = _rig()
        return await rig.handover.replace(rig.silent)

    assert asyncio.run(check()).placement.backup == THIRD


def test_a_run_that_loses_two_zones_in_a_row_reads_no_prompt_again():
    async def check():
        rig = _rig()
        forwarding = rig.forwarding
        forwarding.conclude(rig.silent, BROKEN)
        send = forwarding.start(await forwarding.place())
        rig.speak(send, [4])
        forwarding.conclude(send, BROKEN)
        return await forwarding.place()

    placement = asyncio.run(check())
    assert placement.server == THIRD
    assert placement.resumption == Resumption(4, THIRD.address)


def test_a_run_that_is_lost_before_its_first_event_has_no_copy():
    async def check():
        rig = Rig(last_event=0)
        rig.silent.placement = replace(rig.silent.placement, backup=SECOND)
        rig.forwarding.conclude(rig.silent, BROKEN)
        return await rig.forwarding.place()

    assert asyncio.run(check()).resumption.copy_at is None
