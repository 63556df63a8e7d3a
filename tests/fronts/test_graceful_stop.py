"""Decisions of a host that is leaving, by replay."""

import asyncio
from http import HTTPStatus

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tornado.httputil import HTTPHeaders, RequestStartLine

from celerywharf.fronts._admittance import Admittance, Admitted, Denied
from celerywharf.fronts._edge import Edge
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
KEY = 'key-1'
POLICIES = {
    'stream': ResumableStream(0.7),
    'idempotent call': Idempotent(),
    'purchase': NonIdempotent(),
}


class Connection:
    """A connection without a socket."""

    def __init__(self):
        self.closed = False
        self.written = []

    def close(self):
        """Note the close."""
        self.closed = True

    def set_close_callback(self, callback):
        """Take what tornado would call."""

    def write_headers(self, *words):
        """Note an answer."""
        self.written.append(words)

    def finish(self):
        """End an answer."""


class Forwarding:
    """Notes what is forwarded; stands for timers as well."""

    def __init__(self):
        self.requests = []
        self.context = self
        self.timers = self

    def now(self):
        """Return a time."""
        return NOW_S

    async def serve(self, request, caller):
        """Note a request."""
        self.requests.append(request)


def _route(kind):
    return Route(
        name=kind,
        host='shop',
        prefix=f'/{kind.split()[0]}/',
        policy=POLICIES[kind],
        timeout_s=5,
        latency_target_s=1,
        priority=0,
        services=(WeightedService('desk', 1),),
        max_attempts=1,
        public=False,
    )


@pytest.fixture
def admittance():
    configuration_cache = ConfigurationCache(5)
    routes = tuple(_route(kind) for kind in POLICIES)
    configuration_cache.offer(
        make_configuration(1, routes={'shop': routes}, accounts={KEY: 'a'}),
    )
    configuration_cache.confirm(AnswerTiming(NOW_S, NOW_S, 0))
    return Admittance(configuration_cache, lambda: NOW_S)


@given(parsers.parse('a host whose graceful stop is {stage}'))
def _stage(admittance, stage):
    admittance.leaving = stage != 'not begun'
    admittance.last_call_over = stage == 'about to end'


@when(parsers.parse('a {kind} arrives'), target_fixture='decision')
def _arrives(admittance, kind):
    headers = read_request_headers([('Authorization', f'Bearer {KEY}')])
    return admittance.admit(f'/{kind.split()[0]}/x', 'shop', headers)


@then('it is admitted')
def _admitted(decision):
    assert isinstance(decision, Admitted)


@then('it is refused as not run, go elsewhere')
def _refused(decision):
    assert isinstance(decision, Denied)
    assert decision.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert decision.elsewhere
    assert decision.retry_after_s > 0


@given('an idle connection of a host that is leaving', target_fixture='edge')
def _idle(admittance):
    admittance.leaving = True
    return Edge(admittance, Forwarding())


def _feed(reader):
    headers = HTTPHeaders(
        {'Host': 'shop', 'Authorization': f'Bearer {KEY}', 'Attempt-Id': 'r1'},
    )
    reader.headers_received(
        RequestStartLine('POST', '/purchase/x', 'HTTP/1.1'),
        headers,
    )
    reader.finish()


async def _play(edge, connection, *, closed_first):
    reader = edge.start_request(object(), connection)
    if closed_first:
        edge.close_idle()
        _feed(reader)
    else:
        _feed(reader)
        edge.close_idle()
    await asyncio.sleep(0)
    await asyncio.sleep(0)


@when(
    'the host closes it as a purchase arrives',
    target_fixture='connection',
)
def _crossing(edge):
    connection = Connection()
    asyncio.run(_play(edge, connection, closed_first=True))
    return connection


@when(
    'a purchase arrives and the host closes idle connections',
    target_fixture='connection',
)
def _busy(edge):
    connection = Connection()
    asyncio.run(_play(edge, connection, closed_first=False))
    return connection


@then('nothing is forwarded and nothing is answered')
def _nothing(edge, connection):
    assert connection.closed
    assert not edge.forwarder.requests
    assert not connection.written


@then('the purchase is forwarded')
def _forwarded(edge, connection):
    assert not connection.closed
    assert [one.target for one in edge.forwarder.requests] == ['/purchase/x']
