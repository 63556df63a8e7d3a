"""Relaying of the events of a send, with given pieces of its answer."""

import asyncio
import math
import time
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import Caller, ForwardingContext, IncomingRequest
from celerywharf.forwarding._outcomes import Finished, Lost, Refused
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.limits import Clocks, ServerLimiter, StatedLimits
from celerywharf.metrics import Metrics
from celerywharf.origins import StreamOrigins
from celerywharf.platform import read_request_headers
from celerywharf.quarantine import LossRegister, QuarantineGate
from celerywharf.rollouts import RolloutRegister
from celerywharf.routing import ResumableStream, Route
from celerywharf.timers import TimerService
from celerywharf.waiting import WaitingRequests
from tests.backends.test_directory import make_server

scenarios('relays.feature')

REQUEST_ID = 'r1'
VALID_HEADERS = {
    'attempt-id': REQUEST_ID,
    'server-stamp': 's',
    'transfer-encoding': 'chunked',
}
FAULTY_HEADERS = {
    'of another request': (200, {**VALID_HEADERS, 'attempt-id': 'r2'}),
    'without signature': (200, {'attempt-id': REQUEST_ID}),
    'of an encoded body': (200, {**VALID_HEADERS, 'content-encoding': 'gzip'}),
    'of a refusal': (503, {'not-run': '1'}),
    'of a refusal that names it': (
        503,
        {'not-run': '1', 'attempt-id': REQUEST_ID},
    ),
    'of a refusal of another request': (
        503,
        {'not-run': '1', 'attempt-id': 'r2'},
    ),
    "of another one's 421": (421, {'attempt-id': 'r2'}),
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
    timers = TimerService()
    metrics = Metrics()
    return ForwardingContext(
        transport=None,
        timers=timers,
        configuration_cache=None,
        loads=loads,
        health=ServerHealth(directory, loads),
        placement=None,
        reports=None,
        retries=None,
        limits=ServerLimiter(
            StatedLimits(), None, Clocks(time.monotonic, time.monotonic)
        ),
        quarantine=QuarantineGate(LossRegister(Random(1)), time.monotonic),
        origins=StreamOrigins(directory.software_versions, time.monotonic),
        peers=None,
        waiting=WaitingRequests(timers, metrics, Random(1)),
        metrics=metrics,
        random=None,
        rollouts=RolloutRegister(
            directory,
            time.monotonic,
            time.monotonic,
            Random(1),
            is_enabled=False,
        ),
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
    return IncomingRequest('POST', 'shop', '/', b'', headers, route, None, 0)


def _make_relay(last):
    return StreamRelay(
        _make_context(),
        _make_request(),
        make_server('e1'),
        RecordingCaller(),
        Progress(last or None),
        SilenceDetector(0.7, 0),
    )


async def _run_relay(last, act):
    relay = _make_relay(last)
    act(relay)
    outcome = relay.done.result() if relay.done.done() else None
    return relay.caller, outcome, relay


def _feed(relay, pieces, headers):
    relay.on_headers(200, headers)
    for piece in pieces.split():
        match piece.partition('-'):
            case ('end', _, _):
                relay.on_end(None)
            case ('reset', _, _):
                error = TransportError('reset')
                error.answer_begun = True
                relay.on_end(error)
            case ('half', _, number):
                relay.on_chunk(f'id: {number}\ndata: wo'.encode())
            case ('comment', _, _):
                relay.on_chunk(b': alive')
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
    return asyncio.run(
        _run_relay(last, lambda relay: _feed(relay, pieces, VALID_HEADERS))
    )


@when(
    parsers.parse("an engine's unframed stream consists of {pieces}"),
    target_fixture='relayed',
)
def _relay_unframed(last, pieces):
    headers = {**VALID_HEADERS}
    headers.pop('transfer-encoding')
    return asyncio.run(
        _run_relay(last, lambda relay: _feed(relay, pieces, headers))
    )


@when("an engine's stream ends before its head", target_fixture='relayed')
def _relay_nothing(last):
    return asyncio.run(_run_relay(last, lambda relay: relay.on_end(None)))


@then(parsers.parse('the server is {fate}'))
def _fate(relayed, fate):
    outcome = relayed[1]
    is_lost = isinstance(outcome, Lost) and outcome.broken and outcome.begun
    assert is_lost == (fate == 'lost as it began')


@then("the caller's answer has begun")
def _begun(relayed):
    assert relayed[0].started


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


class RecordingTransfer:
    """Records whether it is paused."""

    def __init__(self):
        self.paused = False

    def pause(self):
        """Record a pause."""
        self.paused = True

    def resume(self):
        """Record the end of a pause."""
        self.paused = False


def _feed_in_pieces(count, size, piece):
    async def feed():
        relay = _make_relay(0)
        relay.on_headers(200, VALID_HEADERS)
        started_s = time.perf_counter()
        for number in range(1, count + 1):
            event = f'id: {number}\ndata: {"x" * size}\n\n'.encode()
            for start in range(0, len(event), piece):
                relay.on_chunk(event[start : start + piece])
        return relay, time.perf_counter() - started_s

    return asyncio.run(feed())


@when(
    parsers.parse(
        '{count:d} events of {size:d} bytes arrive in pieces of {piece:d} bytes'
    ),
    target_fixture='split',
)
def _many_pieces(count, size, piece):
    return (count, *_feed_in_pieces(count, size, piece))


@then(parsers.parse('all of them are split within {span:g} s'))
def _split_in_time(split, span):
    count, relay, took_s = split
    assert relay.progress.events == count
    assert took_s < span


@when(
    parsers.parse(
        'an event of {size:d} bytes arrives in pieces of {piece:d} bytes'
    ),
    target_fixture='relayed',
)
def _too_large(size, piece):
    relay, _ = _feed_in_pieces(1, size, piece)
    return relay.caller, relay.done.result(), relay


@then(parsers.parse('the silence of the engine {counts}'))
def _silence(relayed, counts):
    detector = relayed[2].detector
    assert detector.has_events == (counts == 'starts anew')


@when(
    parsers.parse(
        'an engine sends {count:d} events and the caller is congested after '
        '{limit:d}'
    ),
    target_fixture='held',
)
def _congested(last, count, limit):
    async def act():
        relay = _make_relay(last)
        relay.transfer = RecordingTransfer()
        relay.on_headers(200, VALID_HEADERS)
        for number in range(1, count + 1):
            relay.caller.congested = number > limit
            relay.on_chunk(f'id: {number}\ndata: word\n\n'.encode())
        return relay

    return asyncio.run(act())


@then("the transfer is paused and the silence is not the engine's")
def _held(held):
    assert held.transfer.paused
    assert held.detector.expires_at_s(0) == math.inf


@when('the caller has received everything')
def _drained(held):
    held.caller.on_drained()


@then('the transfer goes on and silence counts from then')
def _goes_on(held):
    assert not held.transfer.paused
    now_s = held.context.timers.now()
    assert now_s < held.detector.expires_at_s(0) < now_s + 1
    assert held.progress.events == 3
