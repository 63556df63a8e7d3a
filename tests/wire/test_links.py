"""Links authenticate hosts, return replies and survive invalid bytes."""

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
TOO_LARGE = Failure('x', 'm' * FRAME_LIMIT_BYTES, 'not_run')
UNPAIRED = Failure('x', '\ud800', 'not_run')


class World:
    """Hosts on one event loop, the senders seen and the last outcome."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        self.senders = []
        self.outcome = None
        self.clocks = {}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def add(self, name, handler=None, key=KEY, source_ip=None):
        listener = socket.socket()
        listener.bind((LOOPBACK, 0))
        listener.listen()
        listener.setblocking(False)
        address = Address(LOOPBACK, listener.getsockname()[1])
        clock = HybridClock(lambda: self.clocks.get(name, 1000))
        identity = HostIdentity(name, 'r1', 'z1', address, 1)
        self.links[name] = LinkService(
            identity, key, default_codec(), clock, source_ip
        )
        if handler is not None:
            self.links[name].subscribe(Failure, handler)
        self.links[name].add_socket(listener)

    async def request(self, name, code):
        target = self.links['b'].identity.inner
        message = Failure(code, 'm', 'not_run')
        try:
            self.outcome = await self.links[name].request(target, message)
        except exceptions.CelerywharfError as error:
            self.outcome = error

    async def close(self):
        for links in self.links.values():
            await links.close()


@pytest.fixture
def world():
    created = World()
    created.run(created.add('a'))
    yield created
    created.run(created.close())
    created.loop.close()


@given('a host "b" that replies with row_conflict')
def _conflicting(world):
    def _conflict(sender, message):
        world.senders.append(sender)
        raise exceptions.RowConflictError(message.code)

    world.run(world.add('b', _conflict))


@given('a host "b" that replies with stale_epoch')
def _stale(world):
    def _raise_stale(_sender, _message):
        raise exceptions.StaleEpochError('newer owner')

    world.run(world.add('b', _raise_stale))


@given('a host "b" whose handler raises an exception')
def _failing(world):
    world.run(world.add('b', lambda _sender, _message: {}['missing']))


@given(parsers.parse('a host "b" {when} replies with text that is {odd}'))
def _unsendable(world, when, odd):
    reply = TOO_LARGE if odd == 'too large' else UNPAIRED
    is_late = when == 'that later'
    world.run(
        world.add('b', lambda *_: asyncio.sleep(0, reply) if is_late else reply)
    )


@given('host "a" has a link to it')
@when(parsers.parse('host "{name}" sends it a request with code "{code}"'))
def _request(world, name='a', code='first'):
    world.run(world.request(name, code))


@when('host "a" sends it a one-way message that is too large')
def _send_too_large(world):
    world.links['a'].send(world.links['b'].identity.inner, TOO_LARGE)


@then(parsers.parse('host "b" has an incoming link from {source_ip}'))
def _incoming_from(world, source_ip):
    (stream,) = world.links['b'].incoming
    assert stream.socket.getpeername()[0] == source_ip


@given(parsers.parse('a host "c" with source address {source_ip}'))
def _with_source_address(world, source_ip):
    world.run(world.add('c', source_ip=source_ip))


@given('the clock of host "b" is 100 s behind')
def _behind(world):
    world.clocks['b'] = 900


@when('a host with another key sends it a request')
def _wrong_key(world):
    world.run(world.add('c', key=b'a key of somebody else'))
    world.run(world.request('c', 'x'))


@when(parsers.parse('{what} arrive on a new connection'), target_fixture='end')
@when(parsers.parse('{what} arrives on a new connection'), target_fixture='end')
def _invalid_bytes(world, what):
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


@then(parsers.parse('the reply has code "{code}"'))
def _reply_code(world, code):
    assert isinstance(world.outcome, exceptions.RowConflictError)
    assert world.outcome.message == code


@then(parsers.parse('host "b" saw sender "{name}" of zone "{zone}"'))
def _saw_sender(world, name, zone):
    assert [
        (sender.host, sender.availability_zone) for sender in world.senders
    ] == [
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


@then('host "a" still gets replies from it')
def _still_replies(world):
    world.run(world.request('a', 'again'))
    _reply_code(world, 'again')


@then('the next event of host "b" has a later stamp than the request')
def _later(world):
    request_stamp = world.links['a'].clock.last
    assert world.links['b'].clock.tick().micros >= 1000 * 1_000_000
    assert world.links['b'].clock.tick() > request_stamp
