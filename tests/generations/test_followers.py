"""Callers that follow a generation of another host, without a network."""

import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.exceptions import NotFoundError
from celerywharf.generations import _followers
from celerywharf.generations._followers import Follower
from celerywharf.generations._readers import EventReader
from celerywharf.wire.journals import FollowTokens

scenarios('followers.feature')

SHORT_TIMEOUT_S = 0.05


class RecordingSocket:
    """Accepts all bytes."""

    def __init__(self):
        self.received = b''

    def send(self, frame):
        """Record the bytes."""
        self.received += frame
        return len(frame)


class RecordingStream:
    """Stands in for the caller's connection."""

    def __init__(self):
        self.socket = RecordingSocket()

    def set_nodelay(self, _enabled):
        """Ignore the option."""

    def set_close_callback(self, _callback):
        """Ignore the callback."""


class Scene:
    """A follower, its reader and what has been observed."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._create())
        self.stream = RecordingStream()
        self.order = []
        self.failure = None

    async def _create(self):
        self.reader = EventReader('g', 1, 0)
        self.follower = Follower(None, self.reader, 'account')
        self.reader.on_ready = self.follower.on_ready

    def message(self, offset, tokens):
        return FollowTokens('f', 1, offset, tokens.split(), '', '', '')

    async def deliver(self, offset, tokens):
        await self.follower.deliver(self.message(offset, tokens))
        self.order.append('acknowledged')


@pytest.fixture
def scene():
    current = Scene()
    yield current
    current.loop.close()


@given('a following caller without a connection yet')
def _follower(scene):
    assert scene.reader.busy


@when(
    parsers.parse(
        'its owner sends tokens "{tokens}" and then the connection is there'
    )
)
def _early_batch(scene, tokens):
    async def act():
        delivery = asyncio.create_task(scene.deliver(0, tokens))
        await asyncio.sleep(0)
        scene.order.append('connected')
        scene.reader.connect(scene.stream, chunked=False)
        await delivery

    scene.loop.run_until_complete(act())


@when(parsers.parse('its owner sends tokens "{tokens}" after the first batch'))
def _later_batch(scene, tokens):
    scene.loop.run_until_complete(scene.deliver(scene.reader.offset, tokens))


@when(
    parsers.parse(
        'its owner sends tokens "{tokens}" and no connection ever comes'
    )
)
def _no_connection(scene, tokens, monkeypatch):
    monkeypatch.setattr(_followers, 'READY_TIMEOUT_S', SHORT_TIMEOUT_S)
    with pytest.raises(NotFoundError) as failure:
        scene.loop.run_until_complete(scene.deliver(0, tokens))
    scene.failure = failure.value


@then(parsers.parse('the caller has received "{tokens}"'))
def _received(scene, tokens):
    events = scene.stream.socket.received.decode().split('\n\n')
    received = [
        json.loads(event.split('data: ')[1])['choices'][0]['text']
        for event in events
        if event
    ]
    assert received == tokens.split()


@then('the owner gets the acknowledgement after that')
def _acknowledged(scene):
    assert scene.order == ['connected', 'acknowledged']


@then('the owner is refused')
def _refused(scene):
    assert scene.failure is not None


@then("the caller's request ends with an error")
def _request_failed(scene):
    assert isinstance(scene.reader.opening.exception(), NotFoundError)


@then(parsers.parse("the caller's offset is {offset:d}"))
def _offset(scene, offset):
    assert scene.reader.offset == offset
