"""Streams that wait at their host for room, without a network."""

import asyncio
from dataclasses import replace
from http import HTTPStatus
from types import SimpleNamespace

import pytest

from celerywharf.backends import Demand, EngineReport, Loads
from celerywharf.forwarding import _turns
from celerywharf.forwarding._outcomes import Refused
from celerywharf.forwarding._plans import Fail
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.forwarding._turns import has_room
from celerywharf.routing import collect_urgencies
from tests.backends.test_directory import make_server
from tests.forwarding.test_handover import SendingTransport, StubReports
from tests.forwarding.test_late_statements import (
    FIRST,
    SECOND,
    SERVICE,
    build_context,
)
from tests.forwarding.test_relays import RecordingCaller, _make_request
from tests.routing.test_configuration_cache import make_configuration
from tests.routing.test_urgencies import make_route
from tests.virtual_loop import run_virtually

NOW_S = 100
CAPACITY = 88_000
DEMAND = Demand(SERVICE, 9_000, CAPACITY)
SERVER = make_server('e')


def report(**changes):
    fields = {
        'waiting': 0,
        'running': 1,
        'prefilling': 0,
        'used_tokens': 9_000,
        'capacity_tokens': CAPACITY,
        'born_ms': 1,
    }
    return EngineReport(**{**fields, **changes})


@pytest.mark.parametrize(
    ('changes', 'reading_s', 'expected'),
    [
        ({}, 1, True),
        ({'running': 0, 'used_tokens': CAPACITY}, 1, True),
        ({'prefilling': 1, 'waiting': 1}, 1, False),
        ({'prefilling': 1, 'waiting': 1}, 0.2, True),
        ({'prefilling': 1, 'waiting': 1}, 0, True),
        ({'prefilling': 1, 'waiting': 9}, 0.2, False),
        ({'used_tokens': 80_000}, 1, False),
        ({'used_tokens': 79_000}, 1, True),
        ({'running': 12}, 1, False),
        ({'running': 11}, 1, True),
    ],
)
def test_an_engine_has_room_if_it_fits_and_reads_the_prompt_soon(
    changes, reading_s, expected
):
    loads = Loads()
    loads.report(SERVER.name, report(**changes), NOW_S)
    assert has_room(reading_s, loads, SERVER, DEMAND, NOW_S) is expected


class Log:
    """Records what is logged of waits."""

    def __init__(self):
        self.reasons = []

    def log_waited_in_vain(self, reason, now_s, expected_s):
        """Record a refusal."""
        self.reasons.append(reason)

    def log_send(self, *_, **_fields):
        """Do nothing."""


class Rig:
    """A host whose engines have a queue of prompts that are read slowly."""

    def __init__(self):
        self.transport = SendingTransport()
        self.context = build_context(self.transport, StubReports())
        self.room = self.context.waiting.room(SERVICE)
        self.room.reading.record_hold(1)
        self.log = Log()
        self.tasks = []

    def fill(self, waiting=2):
        """Let engines report a queue."""
        now_s = self.context.timers.now()
        for server in (FIRST, SECOND):
            full = report(waiting=waiting, prefilling=1)
            self.context.loads.report(server.name, full, now_s)

    def start(self, target_s=4, priority=0, deadline_s=5, last_event=None):
        """Let a stream arrive."""
        request = _make_request()
        headers = replace(
            request.headers,
            prompt_tokens=60,
            output_tokens=70,
            last_event=last_event,
        )
        route = replace(
            request.route,
            latency_target_s=target_s,
            priority=priority,
            timeout_s=deadline_s,
        )
        forwarding = StreamForwarding(
            self.context,
            replace(
                request,
                headers=headers,
                route=route,
                arrived_s=self.context.timers.now(),
            ),
            SERVICE,
            self.log,
            RecordingCaller(),
        )
        forwarding._knows_software_version = _known
        self.tasks.append(asyncio.ensure_future(forwarding.send()))
        return self.tasks[-1]

    @property
    def sent(self):
        """Return the number of sends so far."""
        return len(self.transport.sinks)

    async def end(self):
        """Cancel what is in progress."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def _known():
    return True


def test_a_stream_waits_until_an_engine_has_room():
    async def check():
        rig = Rig()
        rig.fill()
        rig.start()
        await asyncio.sleep(0.6)
        before = rig.sent
        rig.fill(waiting=0)
        await asyncio.sleep(0.3)
        sent = before, rig.sent
        await rig.end()
        return sent

    assert run_virtually(check) == (0, 1)


def test_a_stream_queues_at_an_engine_after_a_part_of_its_target():
    async def check():
        rig = Rig()
        rig.start(target_s=4)
        sent = []
        for _ in range(14):
            rig.fill()
            await asyncio.sleep(0.1)
            sent.append(rig.sent)
        await rig.end()
        return sent

    sent = run_virtually(check)
    first_s = sent.index(1) / 10
    assert 4 * _turns.WAIT_SHARE - 0.1 <= first_s <= 4 * _turns.WAIT_SHARE + 0.3


@pytest.mark.parametrize('last_event', [None, 3])
def test_the_most_urgent_and_begun_streams_go_to_an_engine_at_once(last_event):
    async def check():
        rig = Rig()
        rig.fill()
        routes = [
            make_route(0, service=SERVICE),
            make_route(2, service=SERVICE),
        ]
        cache = rig.context.configuration_cache
        cache.configuration = make_configuration(
            1,
            services=cache.configuration.services,
            urgencies=collect_urgencies(routes, {}),
        )
        rig.start(priority=2)
        await asyncio.sleep(0.1)
        rig.start(
            priority=0 if last_event is None else 2, last_event=last_event
        )
        await asyncio.sleep(0.05)
        sent = rig.sent
        await rig.end()
        return sent

    assert run_virtually(check) == 1


def test_a_stream_that_cannot_be_served_in_time_is_refused_as_not_run():
    async def check():
        rig = Rig()
        for _ in range(16):
            rig.room.queue.stream_ended(5)
        rig.fill()
        step = await rig.start(deadline_s=4)
        return step, rig

    step, rig = run_virtually(check)
    assert isinstance(step, Fail)
    assert step.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert 0 < step.retry_after_s * 3 <= 4
    assert not rig.sent
    assert rig.log.reasons == ['it cannot be served in time']
    assert not rig.context.loads.requests(FIRST.name)


def test_no_stream_is_refused_while_there_is_room():
    async def check():
        rig = Rig()
        for _ in range(16):
            rig.room.queue.stream_ended(5)
        rig.start(deadline_s=4)
        await asyncio.sleep(0.05)
        sent = rig.sent
        await rig.end()
        return sent

    assert run_virtually(check) == 1


def test_a_host_that_stops_refuses_a_waiting_stream_as_not_run():
    async def check():
        rig = Rig()
        rig.fill()
        waiting = rig.start()
        await asyncio.sleep(0.1)
        rig.context.waiting.stop()
        async with asyncio.timeout(0.1):
            return await waiting

    step = run_virtually(check)
    assert step.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert step.retry_after_s > 0


def test_callers_are_not_held_while_no_server_is_known():
    async def check():
        rig = Rig()
        for server in (FIRST, SECOND):
            rig.context.health.directory.removed(server.name, 0)
        async with asyncio.timeout(0.01):
            return [await rig.start() for _ in range(5)]

    steps = run_virtually(check)
    assert {step.status for step in steps} == {HTTPStatus.SERVICE_UNAVAILABLE}
    waits_s = [step.retry_after_s for step in steps]
    assert all(0 < wait_s <= 1 for wait_s in waits_s)
    assert len(set(waits_s)) == len(waits_s)


def test_streams_wait_once_two_engines_have_refused_one():
    async def check():
        rig = Rig()
        sender = SimpleNamespace(
            context=rig.context,
            service=SERVICE,
            plan=SimpleNamespace(refusals=1),
        )
        turns = _turns.StreamTurns(sender)
        send = SimpleNamespace(
            placement=SimpleNamespace(
                resumption=SimpleNamespace(copy_at=None, last_event=None)
            ),
            relay=SimpleNamespace(begun_at_s=None),
        )
        turns.ended(send, Refused('full', reached=True))
        was_open = rig.room.is_open
        sender.plan.refusals = 2
        turns.ended(send, Refused('full', reached=True))
        return was_open, rig.room.is_open

    assert run_virtually(check) == (True, False)
