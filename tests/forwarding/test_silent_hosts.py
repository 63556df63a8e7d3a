"""Streams that are passed on to another host, which falls silent."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from celerywharf.exceptions import TransportError
from celerywharf.forwarding._plans import Done
from celerywharf.peers import (
    RELAY_HEADER,
    PeerHost,
    RelayReport,
    RelayResult,
    write_report,
)
from celerywharf.structures import Address
from tests.forwarding.test_handover import Rig
from tests.forwarding.test_relays import VALID_HEADERS

HOST = PeerHost('f2', 'north-1', Address('127.0.0.1', 9), b'k', 0, frozenset())
SILENT_S = 1.2
HEADERS = {
    **VALID_HEADERS,
    RELAY_HEADER: write_report(RelayReport(RelayResult.served)),
}


def _tell(relay, numbers):
    relay.on_headers(200, HEADERS)
    for number in numbers:
        relay.on_chunk(f'id: {number}\ndata: w\n\n'.encode())


async def _not_answer(_):
    await asyncio.sleep(0.3)
    raise TransportError('timed out')


class Peers:
    """Knows one other host."""

    async def choose(self, service, excluded):
        """Return the host, unless it was asked already."""
        return None if HOST.name in excluded else HOST

    def started(self, host):
        """Do nothing."""

    ended = started
    failed = started


async def _pass_on(retries):
    """Return the step of a stream whose host is silent for a moment."""
    rig = Rig(last_event=0)
    rig.forwarding.abandon(rig.silent)
    rig.retries.left = retries
    rig.transport.fetch = _not_answer
    rig.forwarding.context = replace(
        rig.context,
        configuration_cache=SimpleNamespace(
            configuration=SimpleNamespace(version=1)
        ),
        peers=Peers(),
    )

    reachability = rig.context.health.reachability
    reachability.is_cut_off = bool
    rig.log.log_relay = lambda *_: None
    sent = asyncio.Event()
    rig.transport.when_sent = sent.set
    serving = asyncio.ensure_future(rig.forwarding.run())
    await sent.wait()
    relay = rig.transport.sinks[-1]
    _tell(relay, [1, 2])
    await asyncio.wait({serving}, timeout=SILENT_S)
    _tell(relay, [3])
    relay.on_end(None)
    return await serving


def test_a_stream_at_a_silent_host_is_not_cut_for_want_of_a_retry():
    assert asyncio.run(_pass_on(retries=0)) == Done()
