"""Servers that say something between the choice of a server and the send."""

import asyncio
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from celerywharf.backends import Placement
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._relays import StreamRelay
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.forwarding._stream_sends import StreamPlacement, StreamSend
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.platform import Resumption
from celerywharf.routing import EngineMemory, Service
from celerywharf.structures import Address, Verdict
from tests.backends.test_directory import SERVICE, make_server
from tests.forwarding.test_relays import (
    RecordingCaller,
    _make_context,
    _make_request,
)
from tests.routing.test_configuration_cache import make_configuration

FIRST = make_server('e1', address=Address('127.0.0.1', 1))
SECOND = make_server('e2', 'north-2', address=Address('127.0.0.1', 2))
STATEMENTS = {
    'leaves': lambda context: context.health.leaving(FIRST.incarnation),
    'wants a pause': lambda context: context.limits.pause(
        FIRST.incarnation, 60
    ),
    'is removed': lambda context: context.health.directory.removed('e1', 0),
}


class Transport:
    """Records where requests are sent and refuses all connections."""

    def __init__(self):
        self.urls = []

    def stream(self, request, sink):
        """Record a request and end it."""
        self.urls.append(request.url)
        error = TransportError('refused', verdict=Verdict.not_run)
        asyncio.get_running_loop().call_soon(sink.on_end, error)
        return SimpleNamespace(cancel=lambda: None)


class Reports:
    """Chooses the best server; the first says something before the second."""

    def __init__(self, said=None):
        self.said = said
        self.calls = 0

    async def best(self, rank, candidates):
        """Return the best ranked server."""
        self.calls += 1
        if self.calls == 2 and self.said is not None:
            self.said()
        return next(iter(rank()), None)


class Log:
    """Takes the place of the request log."""

    def log_send(self, *_, **_fields):
        """Do nothing."""


def build_context(transport, reports):
    """Return a context with two engines, of which the first is nearer."""
    context = _make_context()
    directory = context.health.directory
    directory.update(FIRST, 0)
    directory.update(SECOND, 0)
    service = Service(SERVICE, '/', EngineMemory(88_000, backups=True))
    configuration = make_configuration(1, services={SERVICE: service})
    return replace(
        context,
        transport=transport,
        reports=reports,
        configuration_cache=SimpleNamespace(configuration=configuration),
        placement=Placement(
            directory, context.loads, context.health, 'north-1', {}, Random(1)
        ),
        random=Random(1),
    )


async def send_once(transport, reports, prepare):
    """Send a stream once, after a preparation."""
    context = build_context(transport, reports)
    request = _make_request()
    headers = replace(request.headers, prompt_tokens=60, output_tokens=70)
    request = replace(request, headers=headers, arrived_s=context.timers.now())
    forwarding = StreamForwarding(
        context, request, SERVICE, Log(), RecordingCaller()
    )
    prepare(context, forwarding)
    await forwarding.send()


@pytest.mark.parametrize('statement', STATEMENTS)
def test_nothing_is_sent_to_a_server_that_has_spoken_since_it_was_chosen(
    statement,
):
    transport = Transport()
    reports = Reports()

    def prepare(context, _):
        reports.said = lambda: STATEMENTS[statement](context)

    asyncio.run(send_once(transport, reports, prepare))
    assert transport.urls == [f'http://{SECOND.address}/']


@pytest.mark.parametrize('statement', STATEMENTS)
def test_a_stream_does_not_go_on_where_its_copy_is_if_that_server_has_spoken(
    statement,
):
    transport = Transport()

    def prepare(context, forwarding):
        forwarding.placer.copy_holder = FIRST
        STATEMENTS[statement](context)

    asyncio.run(send_once(transport, Reports(), prepare))
    assert transport.urls == [f'http://{SECOND.address}/']


class OpenTransport(Transport):
    """Records where requests are sent; their answers do not come."""

    def stream(self, request, sink):
        """Record a request and keep it open."""
        self.urls.append(request.url)
        return SimpleNamespace(cancel=lambda: None)


class Retries:
    """Grants each retry."""

    async def take(self, service, *, in_progress):
        """Return that the request may be sent again."""
        return True


async def _await_first_event(transport, heard_s_ago):
    """Check a send without events; return its relay."""
    context = replace(build_context(transport, Reports()), retries=Retries())
    now_s = context.timers.now()
    context.loads.mark_alive(FIRST.name, now_s - heard_s_ago)
    context.loads.mark_alive(SECOND.name, now_s)
    forwarding = StreamForwarding(
        context,
        replace(_make_request(), arrived_s=now_s),
        SERVICE,
        Log(),
        RecordingCaller(),
    )
    relay = StreamRelay(
        context,
        forwarding.request,
        FIRST,
        forwarding.caller,
        forwarding.progress,
        SilenceDetector(0.7, now_s - 60),
    )
    context.limits.pause(FIRST.incarnation, 60)
    placement = StreamPlacement(FIRST, Resumption(None), None)
    await forwarding._check_liveness(StreamSend(placement, relay))
    return relay


def test_a_silent_server_in_a_pause_is_found_dead_before_the_first_event():
    async def check():
        transport = OpenTransport()
        relay = await _await_first_event(transport, 60)
        assert transport.urls == [f'http://{SECOND.address}/']
        return relay.done.done()

    assert asyncio.run(check())


def test_a_silent_server_in_a_pause_is_kept_if_no_other_takes_the_stream():
    async def check():
        transport = Transport()
        relay = await _await_first_event(transport, 60)
        assert transport.urls == [f'http://{SECOND.address}/']
        return relay.done.done()

    assert not asyncio.run(check())


@pytest.mark.parametrize('heard_s_ago', [0, 1.2, 2.4])
def test_a_server_in_a_pause_that_has_just_answered_others_is_kept(heard_s_ago):
    async def check():
        transport = OpenTransport()
        relay = await _await_first_event(transport, heard_s_ago)
        assert not transport.urls
        return relay.done.done()

    assert not asyncio.run(check())


@pytest.mark.parametrize('pause_s', [300, 1e300])
def test_callers_are_told_to_wait_for_the_end_of_a_pause_or_an_hour(pause_s):
    context = build_context(Transport(), Reports())
    for server in (FIRST, SECOND):
        context.limits.pause(server.incarnation, pause_s)

    async def send():
        request = replace(_make_request(), arrived_s=context.timers.now())
        return await StreamForwarding(
            context, request, SERVICE, Log(), RecordingCaller()
        ).send()

    step = asyncio.run(send())
    assert min(pause_s, 3600) <= step.retry_after_s <= 2 * 3600


@pytest.mark.parametrize('statement', STATEMENTS)
def test_no_copy_is_kept_at_a_server_that_leaves_or_wants_a_pause(statement):
    async def choose_backup():
        context = build_context(Transport(), Reports())
        forwarding = StreamForwarding(
            context, _make_request(), SERVICE, Log(), RecordingCaller()
        )
        STATEMENTS[statement](context)
        return await forwarding.placer.backup(SECOND, Resumption())

    assert asyncio.run(choose_backup()) is None
