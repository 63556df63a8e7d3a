"""Links authenticate, answer, and survive broken bytes."""

import asyncio
import random
import socket

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf import exceptions
from celerywharf.structures import Address, HostIdentity
from celerywharf.timeline import HybridClock
from celerywharf.wire import (
    FRAME_LIMIT_BYTES,
    Acknowledged,
    Envelope,
    Failure,
    Kind,
    LinkService,
    default_codec,
    frame,
)

scenarios('links.feature')

KEY = b'the inner key of tests'
LOOPBACK = '127.0.0.1'


class World:
    """Two hosts on one loop, and what they saw."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        self.seen = []
        self.outcome = None
        self.clocks = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def add(self, name, handler=None, key=KEY, source_ip=None):
        holder = socket.socket()
        holder.bind((LOOPBACK, 0))
        holder.listen()
        holder.setblocking(False)
        address = Address(LOOPBACK, holder.getsockname()[1])
        clock = HybridClock(lambda: self.clocks.get(name, 1000))
        identity = HostIdentity(name, 'r1', 'z1', address, 1)
        self.links[name] = LinkService(
            identity, key, default_codec(), clock, source_ip
        )
        if handler is not None:
            self.links[name].subscribe(Failure, handler)
        self.links[name].add_socket(holder)

    async def ask(self, name, code):
        target = self.links['b'].identity.inner
        question = Failure(code, 'm', 'not_run')
        try:
            self.outcome = await self.links[name].request(target, question)
        except exceptions.CelerywharfError as error:
            self.outcome = error

    async def close(self):
        for links in self.links.values():
            await links.close()


@pytest.fixture
def world():
    one = World()
    one.run(one.add('a'))
    yield one
    one.run(one.close())
    one.loop.close()


@given('a host "b" that answers')
def _answering(world):
    def _conflict(sender, message):
        world.seen.append(sender)
        raise exceptions.RowConflictError(message.code)

    world.run(world.add('b', _conflict))


@given('a host "b" that refuses with stale_epoch')
def _refusing(world):
    def _refuse(_sender, _message):
        raise exceptions.StaleEpochError('newer owner')

    world.run(world.add('b', _refuse))


@given('a host "b" that fails inside its handler')
def _failing(world):
    world.run(world.add('b', lambda _sender, _message: {}['missing']))


@given('host "a" has a link to it')
@when(parsers.parse('host "{name}" asks it with code "{code}"'))
def _ask(world, name='a', code='first'):
    world.run(world.ask(name, code))


@then(parsers.parse('host "b" is asked from {source_ip}'))
def _asked_from(world, source_ip):
    (stream,) = world.links['b'].incoming
    assert stream.socket.getpeername()[0] == source_ip


@given(parsers.parse('a host "c" whose links go out from {source_ip}'))
def _elsewhere(world, source_ip):
    world.run(world.add('c', source_ip=source_ip))


@given('host "b" runs 100 s behind')
def _behind(world):
    world.clocks['b'] = 900


@when('a host with another key asks it')
def _stranger(world):
    world.run(world.add('c', key=b'a key of somebody else'))
    world.run(world.ask('c', 'x'))


@when(parsers.parse('{what} arrive on a new connection'), target_fixture='end')
@when(parsers.parse('{what} arrives on a new connection'), target_fixture='end')
def _broken(world, what):
    return world.run(_send(world.links['b'].identity.inner, _content(what)))


async def _send(address, content):
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(content)
    writer.write_eof()
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return received


def _content(what):
    greeting = default_codec().encode(
        Envelope(Kind.one_way, 0, Acknowledged()),
    )
    return {
        'random bytes': random.Random(7).randbytes(4096),
        'an oversized frame': (FRAME_LIMIT_BYTES + 1).to_bytes(4, 'big'),
        'a truncated frame': frame(greeting)[:-3],
        'a frame of another kind': frame(greeting),
    }[what]


@then(parsers.parse('the answer has code "{code}"'))
def _answer(world, code):
    assert isinstance(world.outcome, exceptions.RowConflictError)
    assert world.outcome.message == code


@then(parsers.parse('host "b" saw host "{name}" of zone "{zone}"'))
def _saw(world, name, zone):
    assert [(one.host, one.availability_zone) for one in world.seen] == [
        (name, zone),
    ]


@then(parsers.parse('{kind} is raised with verdict "{verdict}"'))
def _raised(world, kind, verdict):
    assert world.outcome.__class__ is getattr(exceptions, kind)
    assert world.outcome.verdict.value == verdict


@then('host "b" still has the link open')
def _open(world):
    assert len(world.links['b'].incoming) == 1


@then('that connection is closed')
def _closed(end):
    assert len(end) < 1024


@then('host "a" can still ask it')
def _still(world):
    world.run(world.ask('a', 'again'))
    _answer(world, 'again')


@then('host "b" stamps its next event after the question')
def _later(world):
    asked = world.links['a'].clock.last
    assert world.links['b'].clock.tick().micros >= 1000 * 1_000_000
    assert world.links['b'].clock.tick() > asked
