"""Connections to servers of sends that were given up, with given failures."""

import asyncio
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.exceptions import TransportError
from celerywharf.fronts._loss_probes import LossProbes
from celerywharf.structures import Address, Verdict
from tests.backends.test_directory import make_server
from tests.forwarding.test_relays import _make_context

SERVER = make_server('s1')
TRAITS = ('request:r',)
CHECKED_S = 1.6  # a little after the last check


def _late_error():
    error = TransportError('time-out', verdict=Verdict.not_run)
    error.late = True
    return error


FAILURES = {
    'refuses': lambda: TransportError('refused', verdict=Verdict.not_run),
    'accepts': lambda: None,
    'accepts and breaks off': lambda: TransportError('reset'),
    'is connected to late': _late_error,
}


class Transport:
    """Records connections and lets them fail."""

    def __init__(self, failure):
        self.failure = failure
        self.requests = []

    async def fetch(self, request):
        """Record a request; fail as given."""
        self.requests.append(request)
        error = self.failure()
        if error is not None:
            raise error


@pytest.fixture
def probe():
    """Return a function that gives up a send; and what came of it."""

    def run(failure, **options):
        transport = Transport(FAILURES[failure])
        result = asyncio.run(_probe(transport, **options))
        result.requests = transport.requests
        return result

    return run


async def _probe(transport, *, server=SERVER, sends=1, stopped=False):
    context = replace(_make_context(), transport=transport)
    context.health.directory.update(server, 0)
    probes = LossProbes(context)
    probes.start()
    gate = context.quarantine
    for _ in range(sends):
        gate.given_up(TRAITS, SERVER.incarnation, SERVER.availability_zone)
    if stopped:
        await probes.stop()
        gate.given_up(TRAITS, SERVER.incarnation, SERVER.availability_zone)
    await asyncio.sleep(CHECKED_S)
    tasks = len(probes.children)
    await probes.stop()
    return SimpleNamespace(
        lost=gate.register.last_lost_s(SERVER.incarnation) is not None,
        usable=context.health.usable(SERVER, context.timers.now()),
        tasks=tasks,
    )


def test_a_server_that_refuses_connections_was_lost(probe):
    result = probe('refuses')
    assert result.lost
    assert len(result.requests) == 1
    assert not result.tasks


@pytest.mark.parametrize(
    'failure', ['accepts', 'accepts and breaks off', 'is connected to late']
)
def test_no_other_server_was_lost(probe, failure):
    result = probe(failure)
    assert not result.lost
    assert result.usable
    assert len(result.requests) == 2
    assert not result.tasks


def test_several_sends_to_a_server_are_checked_together(probe):
    assert len(probe('accepts', sends=9).requests) == 2


def test_nothing_is_sent_on_the_connections(probe):
    (request,) = probe('refuses').requests
    assert request.connect_only
    assert request.fresh_connection


def test_a_host_that_has_stopped_connects_to_no_server(probe):
    result = probe('refuses', stopped=True)
    assert not result.requests
    assert not result.lost


@pytest.mark.parametrize('alive', [True, False])
def test_a_process_that_accepts_nothing_for_a_while_is_told_from_none(alive):
    async def check(address):
        transport = CurlTransport()
        server = make_server('s1', address=address)
        result = await _probe(transport, server=server)
        transport.close()
        return result.lost

    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        if alive:
            listener.listen()
        address = Address(*listener.getsockname())
        assert asyncio.run(check(address)) is not alive
