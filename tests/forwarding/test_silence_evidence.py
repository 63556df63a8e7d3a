"""What is concluded from servers that fall silent under a stream."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._calls import CallForwarding
from celerywharf.forwarding._outcomes import SILENCE
from celerywharf.forwarding._reports import Reports
from celerywharf.forwarding._sends import record_outcome
from celerywharf.metrics import Metrics
from celerywharf.quarantine import LossRegister, QuarantineGate
from celerywharf.structures import Verdict
from tests.backends.test_directory import make_server
from tests.forwarding.test_relays import _make_request

SILENCED = 5
SERVERS = [make_server(f's{number}') for number in range(SILENCED)]


def _fall_silent(*, then_lost):
    """Let servers fall silent one after the other, a second between them."""
    now_s = 0
    gate = QuarantineGate(LossRegister(Random(1)), lambda: now_s)
    context = SimpleNamespace(quarantine=gate)
    for now_s in range(SILENCED):
        forwarding = CallForwarding(context, _make_request(), 'desk', None)
        forwarding.record_end(SERVERS[now_s], SILENCE)
        if then_lost:
            gate.unreachable(SERVERS[now_s].incarnation)
    return gate.blocking_trait(_make_request().traits)


def test_a_stream_is_not_quarantined_because_sound_servers_fall_silent():
    assert _fall_silent(then_lost=False) is None


def test_a_stream_is_quarantined_if_its_silent_servers_are_unreachable():
    assert _fall_silent(then_lost=True)


def _make_health():
    directory = Directory()
    for server in SERVERS:
        directory.update(server, 0)
    return ServerHealth(directory, Loads())


def test_a_server_that_fell_silent_is_used_again_after_a_second():
    health = _make_health()
    context = SimpleNamespace(
        health=health,
        metrics=Metrics(),
        timers=SimpleNamespace(now=int),
    )
    for _ in range(SILENCED):
        record_outcome(context, SERVERS[0], SILENCE)
    assert not health.usable(SERVERS[0], 0.5)
    assert health.usable(SERVERS[0], 1.1)


@pytest.mark.parametrize(
    ('verdict', 'cut_off'),
    [(Verdict.may_have_run, False), (Verdict.not_run, True)],
)
def test_a_host_is_cut_off_only_if_it_cannot_connect(verdict, cut_off):
    async def fail(request):
        raise TransportError('no report', verdict=verdict)

    health = _make_health()
    reports = Reports(
        SimpleNamespace(fetch=fail),
        SimpleNamespace(now=int),
        health.loads,
        health,
        SimpleNamespace(),
    )

    async def probe_all():
        for server in SERVERS:
            assert await reports.probe(server) is None

    asyncio.run(probe_all())
    assert health.reachability.is_cut_off(SERVERS[0].service) is cut_off
