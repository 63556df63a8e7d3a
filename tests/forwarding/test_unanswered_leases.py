"""Engines that do not answer when they are asked for a lease.

The failure: some answers of a sound engine are lost, or the engine goes dark.
"""

import asyncio

from celerywharf.forwarding._leases import LEASE_TIMEOUT_S, Denial
from tests.forwarding.leasing import TERM_S, ZONES, Fleet
from tests.virtual_loop import run_virtually

ENGINES = 12  # two in each zone
REPORTED_S = 0.01
AT_ONCE = 5


def _serve(prepare, *, after_s=REPORTED_S):
    """Place a stream while the engines nearest to its host are prepared.

    Returns:
        The fleet; which engines are not used and which are suspect, some time
        after the lease of the second engine was given up.
    """
    fleet = Fleet(1, leases=True, engines=ENGINES)
    engines = list(fleet.engines.values())
    for engine in engines[:: len(ZONES)]:
        prepare(engine)

    async def main():
        context = fleet.contexts[0]
        serving = asyncio.ensure_future(fleet.serve(context))
        await asyncio.sleep(2 * LEASE_TIMEOUT_S + after_s)
        now_s = context.timers.now()
        health = context.health
        servers = [engine.server for engine in engines]
        unused = [each for each in servers if not health.usable(each, now_s)]
        suspect = [each for each in servers if health.suspect(each, now_s)]
        serving.cancel()
        return unused, suspect

    unused, suspect = run_virtually(main)
    return fleet, unused, suspect


def _lose_grants(engine):
    engine.loses_grants = True


def _die(engine):
    engine.dies_when_asked = True


def test_a_lost_answer_makes_no_sound_engine_silent():
    fleet, unused, suspect = _serve(_lose_grants)
    assert fleet.calls['hold-take'] > 1
    assert not unused
    assert not suspect
    assert len(fleet.waits_s) == 1


def test_lost_answers_to_many_streams_cost_one_report():
    fleet = Fleet(1, leases=True, engines=ENGINES)
    engine = next(iter(fleet.engines.values()))
    engine.loses_grants = True

    async def main():
        leases = fleet.contexts[0].leases
        answers = await asyncio.gather(
            *(leases.take(engine.server, 1, TERM_S) for _ in range(AT_ONCE))
        )
        await asyncio.sleep(REPORTED_S)
        return set(answers)

    assert run_virtually(main) == {Denial.unreachable}
    assert fleet.calls['report'] == 1


def test_an_engine_that_goes_dark_is_not_used():
    fleet, unused, suspect = _serve(_die, after_s=LEASE_TIMEOUT_S)
    dark = [engine.server for engine in fleet.engines.values() if engine.dark]
    assert dark
    assert dark[0] in unused
    assert dark[0] in suspect
    assert len(fleet.waits_s) == 1
