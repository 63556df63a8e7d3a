"""Begun streams whose only other engine could not be reached before."""

import asyncio

import pytest

from celerywharf.forwarding._outcomes import Lost, Refused
from celerywharf.forwarding._stream_sends import StreamPlacement
from celerywharf.platform import Resumption
from tests.forwarding.test_handover import SECOND, Rig

UNREACHED = Refused('connection timeout', reached=False)
REFUSED = Refused('refused with 503', reached=True)
BROKEN = Lost('reset', broken=True)


def _place(outcome, *, last_event=3, responds=True):
    """Place a stream that one engine has refused and the other has lost."""

    async def place():
        rig = Rig(last_event=last_event)
        rig.reports.responds = responds
        placement = StreamPlacement(SECOND, Resumption(), None)
        rig.forwarding.placer.reserve(SECOND)
        rig.forwarding.conclude(rig.forwarding.start(placement), outcome)
        rig.forwarding.conclude(rig.silent, BROKEN)
        return await rig.forwarding.place()

    return asyncio.run(place())


def test_a_begun_stream_goes_on_at_an_engine_that_is_reachable_again():
    placement = _place(UNREACHED)
    assert placement.server == SECOND
    assert placement.resumption == Resumption(3)


@pytest.mark.parametrize(
    'case',
    [
        {'outcome': UNREACHED, 'responds': False},
        {'outcome': UNREACHED, 'last_event': 0},
        {'outcome': REFUSED},
        {'outcome': BROKEN},
    ],
    ids=['unreachable still', 'not begun', 'refused', 'lost'],
)
def test_other_engines_that_failed_are_not_tried_again(case):
    assert _place(**case) is None
