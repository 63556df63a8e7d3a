"""Servers that state a request limit, with real processes."""

import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from soak.records import read_runs
from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('server_limits.feature')

PATHS = {
    'purchases': CALL_PATH,
    'lookups': LOOKUP_PATH,
    'streams': STREAM_PATH,
}
ZONES = ('north-1', 'north-2')
WINDOW_S = 4.0
SERVED_RATIO = 0.98


class Traffic:
    """Calls at each front in turn."""

    def __init__(self, rig):
        self.rig = rig
        self.answers = []
        self.threads = []
        self.started_s = 0
        self.ended_s = 0

    def play(self, path, per_s, span_s):
        """Send calls at a rate; return when all are answered."""
        self.started_s = time.monotonic()
        for number in range(int(per_s * span_s)):
            wait_s = self.started_s + number / per_s - time.monotonic()
            time.sleep(max(wait_s, 0))
            front = list(self.rig.fronts)[number % len(self.rig.fronts)]
            thread = threading.Thread(target=self.call, args=(front, path))
            thread.start()
            self.threads.append(thread)
        self.ended_s = time.monotonic()
        while self.threads:
            self.threads.pop().join()

    def call(self, front, path):
        """Send a call and keep its answer."""
        method = 'GET' if path == LOOKUP_PATH else 'POST'
        tokens = '100,70' if path == STREAM_PATH else None
        self.answers.append(
            send(
                self.rig.fronts[front],
                path,
                method,
                None if path == LOOKUP_PATH else b'{}',
                request_headers(Token_Count=tokens),
            )
        )

    def arrivals(self, name):
        """Return when requests arrived at a desk, in order."""
        path = self.rig.fleet.folder / f'{name}.runs'
        return sorted(run.began_s for run in read_runs([path]))


@pytest.fixture
def traffic(rig):
    return Traffic(rig)


@given(
    'desks d1, d2, d3 in two zones and fronts f1, f2, f3, f4 of these zones',
    target_fixture='rig',
)
def _rig(fleet):
    rig = PlatformRig(fleet)
    for number, name in enumerate(('d1', 'd2', 'd3')):
        rig.add_server(name, 'desk', ZONES[number % 2], work_ms=20)
    for number, name in enumerate(('f1', 'f2', 'f3', 'f4')):
        rig.add_front(name, zone=ZONES[number % 2], shares=True)
    return rig


@given('engines d4, d5, d6 in two zones')
def _engines(rig):
    for number, name in enumerate(('d4', 'd5', 'd6')):
        rig.add_server(name, 'narrator', ZONES[number % 2])
    time.sleep(0.3)


@when(
    parsers.re(r'(?P<names>d\d(, d\d)*) states? a limit of (?P<per_s>\d+) .*')
)
def _states(fleet, names, per_s):
    for name in names.split(', '):
        fleet.control(name, limit_per_s=float(per_s))


@when(parsers.parse('{name} states no limit'))
def _states_none(fleet, name):
    fleet.control(name, limit_per_s=None)


@when(
    parsers.parse(
        'callers send {requests} {per_s:d} times a second for {span:g} s'
    )
)
def _send(traffic, requests, per_s, span):
    traffic.play(PATHS[requests], per_s, span)


@when('the reader of the zone of d1 is killed')
def _kill_reader(rig, fleet, traffic):
    (reader,) = [
        name
        for name in ('f1', 'f3')
        if '"step": "take_over"' in fleet.log(name)
    ]
    fleet.kill(reader)
    rig.fronts.pop(reader)
    traffic.answers.clear()


@then(
    parsers.re(
        r'from 4 s on (?P<names>d\d(, d\d)*) got at most (?P<limit>\d+) '
        r'requests in any 4 s'
    )
)
def _few(traffic, names, limit):
    for name in names.split(', '):
        times = [
            at_s
            for at_s in traffic.arrivals(name)
            if at_s >= traffic.started_s + WINDOW_S
        ]
        most = max(
            sum(since_s <= at_s < since_s + WINDOW_S for at_s in times)
            for since_s in times
        )
        assert most <= int(limit), (name, most)


@then(parsers.parse('d1 got at least {per_s:g} requests a second'))
def _not_starved(traffic, per_s):
    assert _rate(traffic, 'd1', WINDOW_S) >= per_s


@then(parsers.parse('together they got at least {per_s:g} requests a second'))
def _not_starved_together(traffic, per_s):
    rates = [_rate(traffic, name, WINDOW_S) for name in ('d1', 'd2', 'd3')]
    assert sum(rates) >= per_s


@then(
    parsers.parse(
        'd1 got more than {per_s:g} requests a second in the last {span:g} s'
    )
)
def _more(traffic, per_s, span):
    since_s = traffic.ended_s - traffic.started_s - span
    assert _rate(traffic, 'd1', since_s) > per_s


def _rate(traffic, name, since_s):
    """Return a desk's requests a second from a moment of the traffic on."""
    start_s = traffic.started_s + since_s
    count = sum(at_s >= start_s for at_s in traffic.arrivals(name))
    return count / (traffic.ended_s - start_s)


@then('nearly all requests were served')
def _served(traffic):
    served = sum(answer.status == 200 for answer in traffic.answers)
    assert served >= SERVED_RATIO * len(traffic.answers), served


@then(
    parsers.parse(
        'each request was served or refused as not run within {span:g} s'
    )
)
def _refused_at_once(traffic, span):
    for answer in traffic.answers:
        assert answer.status in {200, 503}, answer
        assert answer.took_s < span, answer
        if answer.status == 503:
            assert float(answer.headers['retry-after']) > 0
