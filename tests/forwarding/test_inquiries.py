"""Silent streams whose engines are asked first, in virtual time.

The load: engines whose batches read long prompts send events far apart, while
other engines are lost without a word.
"""

import asyncio

import pytest

from celerywharf.backends import EngineReport
from celerywharf.forwarding._inquiries import ANSWER_WITHIN_S, Inquiry
from celerywharf.forwarding._silence import STALLED_S, Liveness
from tests.forwarding.test_handover import FIRST, SECOND, Rig
from tests.forwarding.test_relays import REQUEST_ID
from tests.virtual_loop import run_virtually

LAST = 3
GAP_TARGET_S = 0.7  # of the route of the rig
BATCH_GAPS_S = (0.3, 0.45, 0.65, 0.5)
ROUND_TRIP_S = 0.04


def _report(events=LAST, *, runs=True):
    made = {REQUEST_ID: events} if runs else {}
    return EngineReport(
        waiting=0,
        running=9,
        prefilling=3,
        used_tokens=1,
        capacity_tokens=2,
        born_ms=0,
        answering=frozenset(made),
        events=made,
    )


def _rig(report, answers_after_s=ROUND_TRIP_S):
    """Return a stream whose engines are asked by a script.

    The first engine answers by the script, others have just answered.
    """
    rig = Rig(last_event=LAST)

    async def probe(server):
        if server == SECOND:
            return _report()
        await asyncio.sleep(answers_after_s)
        return report

    rig.reports.probe = probe
    return rig


def _serve(report, gaps_s, *, answers_after_s=ROUND_TRIP_S):
    """Let the first engine send events with pauses, and then none.

    Returns:
        The rig, and after which silence each successor was sent.
    """

    async def main():
        rig = _rig(report, answers_after_s)
        rig.forwarding.successor = rig.silent
        detector = rig.silent.relay.detector
        sent_s = []
        rig.transport.when_sent = lambda: sent_s.append(
            asyncio.get_running_loop().time() - detector.last_s
        )
        serving = asyncio.ensure_future(rig.forwarding.run())
        for number, gap_s in enumerate(gaps_s, LAST + 1):
            await asyncio.sleep(gap_s)
            rig.speak(rig.silent, [number])
        await asyncio.sleep(STALLED_S + 1)
        serving.cancel()
        await asyncio.wait({serving})
        return rig, sent_s

    return run_virtually(main)


def test_an_engine_that_reads_prompts_keeps_its_streams_and_their_copies():
    rig, sent_s = _serve(_report(events=0), BATCH_GAPS_S)
    asked = rig.context.metrics.counters['silent_streams']
    assert sent_s[0] >= STALLED_S
    assert rig.forwarding.progress.last_event == LAST + len(BATCH_GAPS_S)
    assert (('evidence', 'at work'),) in asked


def test_an_engine_that_is_slow_all_the_time_is_replaced_when_it_stalls():
    _, sent_s = _serve(_report(events=0), ())
    assert STALLED_S <= sent_s[0] <= STALLED_S + GAP_TARGET_S


LOST = {
    'no answer': (None, 60),
    'unreachable': (None, 0.001),
    'not running': (_report(runs=False), ROUND_TRIP_S),
}


@pytest.mark.parametrize('evidence', LOST)
def test_a_lost_engine_is_replaced_in_time_for_the_caller(evidence):
    report, answers_after_s = LOST[evidence]
    rig, sent_s = _serve(report, (), answers_after_s=answers_after_s)
    limit_s = GAP_TARGET_S / 2 + ANSWER_WITHIN_S
    assert sent_s[0] <= limit_s + 0.01
    asked = rig.context.metrics.counters['silent_streams']
    assert asked[(('evidence', evidence),)] == 1


def test_events_that_do_not_arrive_are_fetched_from_another_engine():
    _, sent_s = _serve(_report(events=LAST + 2), ())
    assert sent_s[0] < GAP_TARGET_S


async def _assess(rig):
    inquiry = Inquiry(rig.context, rig.forwarding.request)
    return await inquiry.assess(rig.silent)


def test_an_engine_whose_zone_has_failed_is_not_asked():
    async def main():
        rig = _rig(_report())
        rig.context.health.suspect = lambda *_: True
        return await _assess(rig)

    assert run_virtually(main) is Liveness.dead


def test_a_stream_that_speaks_while_its_engine_is_asked_goes_on():
    async def main():
        rig = _rig(None, answers_after_s=60)
        asking = asyncio.ensure_future(_assess(rig))
        await asyncio.sleep(ROUND_TRIP_S)
        rig.speak(rig.silent, [LAST + 1])
        return await asking, rig

    liveness, rig = run_virtually(main)
    assert liveness is Liveness.alive
    assert rig.requests(FIRST) == 1
