"""Decisions of a host during its graceful stop, without a network."""

import asyncio
from http import HTTPStatus

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tornado.httputil import HTTPHeaders, RequestStartLine

from celerywharf.fronts._admission import AdmissionController, Admitted, Denied
from celerywharf.fronts._gateway import Gateway
from celerywharf.platform import read_request_headers
from celerywharf.routing import (
    AnswerTiming,
    ConfigurationCache,
    Idempotent,
    NonIdempotent,
    ResumableStream,
    Route,
    WeightedService,
)
from tests.routing.test_configuration_cache import make_configuration

scenarios('graceful_stop.feature')

NOW_S = 100.0
TIMEOUT_S = 5  # of all routes
TIME_LEFT_S = {'begun': TIMEOUT_S, 'about to end': TIMEOUT_S - 0.1}
KEY = 'key-1'
POLICIES = {
    'stream': ResumableStream(0.7),
    'idempotent call': Idempotent(),
    'purchase': NonIdempotent(),
}


class FakeConnection:
    """A connection without a socket."""

    def __init__(self):
        self.closed = False
        self.written = []

    def close(self):
        """Record the close."""
        self.closed = True

    def set_close_callback(self, callback):
        """Accept the callback; it is never called."""

    def write_headers(self, *parts):
        """Record an answer."""
        self.written.append(parts)

    def finish(self):
        """Accept the end of an answer."""


class FakeForwarder:
    """Records forwarded requests; also stands in for context and timers."""

    def __init__(self):
        self.requests = []
        self.context = self
        self.timers = self

    def now(self):
        """Return a fixed time."""
        return NOW_S

    async def serve(self, request, caller):
        """Record a request."""
        self.requests.append(request)


def _route(kind):
    return Route(
        name=kind,
        host='shop',
        prefix=f'/{kind.split()[0]}/',
        policy=POLICIES[kind],
        timeout_s=TIMEOUT_S,
        latency_target_s=1,
        priority=0,
        services=(WeightedService('desk', 1),),
        max_attempts=1,
        public=False,
    )


@pytest.fixture
def admission():
    configuration_cache = ConfigurationCache(5)
    routes = tuple(_route(kind) for kind in POLICIES)
    configuration_cache.offer(
        make_configuration(1, routes={'shop': routes}, accounts={KEY: 'a'}),
    )
    configuration_cache.confirm(AnswerTiming(NOW_S, NOW_S, 0))
    return AdmissionController(configuration_cache, lambda: NOW_S)


@given(parsers.parse('a host whose graceful stop is {stage}'))
def _stage(admission, stage):
    if stage != 'not begun':
        admission.drain(NOW_S + TIME_LEFT_S[stage])


@when(parsers.parse('a {kind} arrives'), target_fixture='decision')
def _arrives(admission, kind):
    headers = read_request_headers([('Authorization', f'Bearer {KEY}')])
    return admission.admit(f'/{kind.split()[0]}/x', 'shop', headers)


@then('it is admitted')
def _admitted(decision):
    assert isinstance(decision, Admitted)


@then('it is refused as not run, connection closed')
def _refused(decision):
    assert isinstance(decision, Denied)
    assert decision.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert decision.close_connection
    assert decision.retry_after_s > 0


@given(
    'an idle connection to a host that is stopping', target_fixture='gateway'
)
def _idle(admission):
    admission.drain(NOW_S + TIME_LEFT_S['begun'])
    return Gateway(admission, FakeForwarder())


def _send_purchase(reader):
    headers = HTTPHeaders(
        {'Host': 'shop', 'Authorization': f'Bearer {KEY}', 'Attempt-Id': 'r1'},
    )
    reader.headers_received(
        RequestStartLine('POST', '/purchase/x', 'HTTP/1.1'),
        headers,
    )
    reader.finish()


async def _receive(gateway, connection, *, closed_first):
    reader = gateway.start_request(object(), connection)
    if closed_first:
        gateway.close_idle()
        _send_purchase(reader)
    else:
        _send_purchase(reader)
        gateway.close_idle()
    await asyncio.sleep(0)
    await asyncio.sleep(0)


@when(
    'the host closes it as a purchase arrives',
    target_fixture='connection',
)
def _purchase_during_close(gateway):
    connection = FakeConnection()
    asyncio.run(_receive(gateway, connection, closed_first=True))
    return connection


@when(
    'a purchase arrives and the host closes idle connections',
    target_fixture='connection',
)
def _busy(gateway):
    connection = FakeConnection()
    asyncio.run(_receive(gateway, connection, closed_first=False))
    return connection


@then('nothing is forwarded and nothing is answered')
def _dropped(gateway, connection):
    assert connection.closed
    assert not gateway.forwarder.requests
    assert not connection.written


@then('the purchase is forwarded')
def _forwarded(gateway, connection):
    assert not connection.closed
    assert [request.target for request in gateway.forwarder.requests] == [
        '/purchase/x'
    ]


async def _fail_after_an_answer(gateway):
    connection = FakeConnection()
    reader = gateway.start_request(object(), connection)
    _send_purchase(reader)
    reader.caller.answer(HTTPStatus.OK, {}, b'bought')
    gateway.fail_open_requests()
    return connection


def test_an_answer_that_a_slow_caller_still_reads_is_not_cut_by_a_stop(
    admission,
):
    gateway = Gateway(admission, FakeForwarder())
    connection = asyncio.run(_fail_after_an_answer(gateway))
    assert len(connection.written) == 1
    assert not connection.closed
