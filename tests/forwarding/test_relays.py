"""Relaying of the events of a send, with given pieces of its answer."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import Caller, ForwardingContext, IncomingRequest
from celerywharf.forwarding._outcomes import Finished, Lost, Refused
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.metrics import Metrics
from celerywharf.platform import read_request_headers
from celerywharf.routing import ResumableStream, Route
from celerywharf.timers import TimerService
from tests.backends.test_directory import make_server

scenarios('relays.feature')

REQUEST_ID = 'r1'
VALID_HEADERS = {'attempt-id': REQUEST_ID, 'server-stamp': 's'}
FAULTY_HEADERS = {
    'of another request': (200, {**VALID_HEADERS, 'attempt-id': 'r2'}),
    'without signature': (200, {'attempt-id': REQUEST_ID}),
    'of an encoded body': (200, {**VALID_HEADERS, 'content-encoding': 'gzip'}),
    'of a refusal': (503, {'not-run': '1'}),
    'of another incarnation': (421, {'instance-id': 'i-2'}),
}
OUTCOMES = {'finished': Finished, 'lost': Lost, 'refused': Refused}


class RecordingCaller(Caller):
    """Records what is written to the caller."""

    def __init__(self):
        self.text = b''

    def begin(self, status, headers):
        """Record that the answer has started."""
        self.started = True

    def write(self, chunk):
        """Record a part of the answer."""
        assert self.started
        self.text += chunk

    def answer(self, status, headers, body):
        """Fail, because no complete answer is expected."""
        raise AssertionError('unexpected answer')

    end = answer
    abort = answer
    fail = answer


def _make_context():
    directory = Directory()
    loads = Loads()
    return ForwardingContext(
        transport=None,
        timers=TimerService(),
        configuration_cache=None,
        loads=loads,
        health=ServerHealth(directory, loads),
        placement=None,
        reports=None,
        budget=None,
        metrics=Metrics(),
        random=None,
    )


def _make_request():
    route = Route(
        name='r',
        host='h',
        prefix='/',
        policy=ResumableStream(0.7),
        timeout_s=5,
        latency_target_s=1,
        priority=0,
        services=(),
        max_attempts=5,
        public=True,
    )
    headers = read_request_headers([('Attempt-Id', REQUEST_ID)])
    return IncomingRequest('POST', '/', b'', headers, route, None, 0)


async def _run_relay(last, act):
    caller = RecordingCaller()
    relay = StreamRelay(
        _make_context(),
        _make_request(),
        make_server('e1'),
        caller,
        Progress(last or None),
        SilenceDetector(0.7, 0),
    )
    act(relay)
    return caller, relay.done.result()


def _feed(relay, pieces):
    relay.on_headers(200, VALID_HEADERS)
    for piece in pieces.split():
        match piece.partition('-'):
            case ('end', _, _):
                relay.on_end(None)
            case ('reset', _, _):
                relay.on_end(TransportError('reset'))
            case ('half', _, number):
                relay.on_chunk(f'id: {number}\ndata: wo'.encode())
            case ('unnumbered', _, _):
                relay.on_chunk(b'data: word\n\n')
            case (number, _, _):
                text = f'id: {number}\ndata: word\n\n'.encode()
                relay.on_chunk(text[:4])
                relay.on_chunk(text[4:])


@given(
    parsers.parse('a caller that has events up to {last:d}'),
    target_fixture='last',
)
def _last_event(last):
    return last


@when(
    parsers.parse("an engine's stream consists of {pieces}"),
    target_fixture='relayed',
)
def _relay_stream(last, pieces):
    return asyncio.run(_run_relay(last, lambda relay: _feed(relay, pieces)))


@when(
    parsers.parse("the stream's headers are those {fault}"),
    target_fixture='relayed',
)
def _relay_faulty_headers(last, fault):
    def act(relay):
        relay.on_headers(*FAULTY_HEADERS[fault])
        relay.on_chunk(b'id: 1\ndata: word\n\n')
        relay.on_end(None)

    return asyncio.run(_run_relay(last, act))


@then(parsers.parse('the caller gets events {events}'))
def _relayed_events(relayed, events):
    expected = '' if events == 'none' else events
    lines = relayed[0].text.decode().split('\n')
    got = [line[4:] for line in lines if line.startswith('id: ')]
    assert got == expected.split()
    assert relayed[0].text.endswith(b'\n\n') or not got


@then(parsers.parse('the send is {outcome}'))
def _relay_outcome(relayed, outcome):
    if outcome not in OUTCOMES:
        pytest.fail(outcome)
    assert isinstance(relayed[1], OUTCOMES[outcome])
