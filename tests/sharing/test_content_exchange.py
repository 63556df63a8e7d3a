"""Contents that pass between hosts in pieces, in virtual time."""

import asyncio
import functools
import random

import pytest

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.metrics import Metrics
from celerywharf.platform import boot_time_s
from celerywharf.sharing._content_exchange import (
    PIECE_BYTES,
    STALL_S,
    ContentExchange,
    Source,
)
from celerywharf.sharing._election import Reader
from celerywharf.structures import Address
from celerywharf.wire import Sender
from tests.virtual_loop import run_virtually

PIECES = 10
PIECE_S = 0.01


class Zone:
    """Hosts that ask each other for contents.

    Attributes:
        gone: addresses that answer nothing.
        silent: addresses whose answers do not arrive.
        damaging: addresses that give other bytes.
        given: number of pieces that each address has given.
    """

    def __init__(self, hosts=1):
        self.gone = set()
        self.silent = set()
        self.damaging = set()
        self.given = {}
        self.exchanges = {}
        for number in range(hosts + 1):
            address = Address('127.0.0.1', 1000 + number)
            own = Reader(address, bytes([number]), 0)
            self.exchanges[address] = ContentExchange(
                own, functools.partial(Link, self), Metrics()
            )
        exchanges = list(self.exchanges.values())
        self.reader = exchanges[0]
        self.hosts = exchanges[1:]
        plain = random.Random(1).randbytes(PIECES * PIECE_BYTES - 500)
        self.content = self.reader.cache.pack(plain)

    async def fetch(self, host):
        link = Link(self, self.reader.own.key, host)
        source = Source(self.reader.own.address, link)
        await host.fetch(self.content.digest, source)
        assert host.cache.find(self.content.digest) == self.content


class Link:
    """A link between hosts of a zone."""

    def __init__(self, zone, key, asker=None):
        self.zone = zone
        self.key = key
        self.asker = asker

    async def request(self, address, question, timeout_s):
        peer = self.zone.exchanges[address]
        assert peer.own.key == self.key
        if address in self.zone.gone:
            raise PeerUnreachableError('gone')
        if address in self.zone.silent:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError('silent')
        await asyncio.sleep(PIECE_S)
        sender = Sender(question.address, 'north', 'north-1', None, 1)
        reply = await peer.answer(sender, question)
        given = self.zone.given
        given[address] = given.get(address, 0) + bool(reply.piece)
        if address in self.zone.damaging:
            object.__setattr__(reply, 'piece', bytes(reversed(reply.piece)))
        return reply

    async def close(self):
        """There is nothing to close."""


def test_a_content_arrives_in_pieces():
    async def play():
        zone = Zone()
        await zone.fetch(zone.hosts[0])
        assert zone.given[zone.reader.own.address] == PIECES

    run_virtually(play)


@pytest.mark.parametrize('trouble', ['gone', 'silent'])
def test_what_was_received_is_not_read_again(trouble):
    async def play():
        zone = Zone()
        address = zone.reader.own.address
        host = zone.hosts[0]
        fetching = asyncio.ensure_future(zone.fetch(host))
        await asyncio.sleep(5.5 * PIECE_S)
        getattr(zone, trouble).add(address)
        with pytest.raises(PeerUnreachableError):
            await fetching
        part = host.parts[zone.content.digest]
        assert len(part.packed) >= 4 * PIECE_BYTES
        getattr(zone, trouble).clear()
        await zone.fetch(host)
        # At most one piece was on its way when the link was lost.
        assert zone.given[address] <= PIECES + 1

    run_virtually(play)


def test_a_transfer_without_progress_fails_in_time():
    async def play():
        zone = Zone()
        zone.silent.add(zone.reader.own.address)
        began_s = boot_time_s()
        with pytest.raises(CelerywharfError):
            await zone.fetch(zone.hosts[0])
        assert boot_time_s() - began_s <= STALL_S + 1

    run_virtually(play)


def test_a_slow_transfer_goes_on_while_it_makes_progress():
    async def play():
        zone = Zone()
        zone.reader.answer = slowly(zone.reader.answer)
        await zone.fetch(zone.hosts[0])
        assert boot_time_s() - 1000 > STALL_S

    run_virtually(play)


def slowly(answer):
    async def wait_and_answer(sender, question):
        await asyncio.sleep(0.5)
        return await answer(sender, question)

    return wait_and_answer


@pytest.mark.parametrize('trouble', ['gone', 'silent'])
def test_the_reader_replaces_a_giver_that_fails(trouble):
    async def play():
        zone = Zone(6)
        first, *others = zone.hosts
        await zone.fetch(first)
        getattr(zone, trouble).add(first.own.address)
        await asyncio.gather(*map(zone.fetch, others))

    run_virtually(play)


def test_damaged_pieces_are_not_kept():
    async def play():
        zone = Zone()
        zone.damaging.add(zone.reader.own.address)
        with pytest.raises(PeerUnreachableError):
            await zone.fetch(zone.hosts[0])
        zone.damaging.clear()
        await zone.fetch(zone.hosts[0])

    run_virtually(play)


@pytest.mark.parametrize('hosts', [7, 87, 195])
def test_the_reader_gives_a_part_of_what_its_zone_needs(hosts):
    async def play():
        zone = Zone(hosts)
        await asyncio.gather(*map(zone.fetch, zone.hosts))
        given = zone.given[zone.reader.own.address]
        assert sum(zone.given.values()) == hosts * PIECES
        assert given <= max(hosts, 24) * PIECES / 2

    run_virtually(play)


def test_a_host_without_the_content_says_so():
    async def play():
        zone = Zone(2)
        link = Link(zone, zone.hosts[0].own.key)
        source = Source(zone.hosts[0].own.address, link)
        with pytest.raises(CelerywharfError):
            await zone.hosts[1].fetch(zone.content.digest, source)

    run_virtually(play)
