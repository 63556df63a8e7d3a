"""Hosts and backend servers that leave, stop, crash or pause."""

import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.zones import OPERATOR_AUTH, Zones, wait_until
from celerywharf.utils import rendezvous_order
from standins.calls import call
from standins.checking import Findings
from standins.launching import Fleet

scenarios('leaving.feature')

TOKENS = 60
TOKEN_INTERVAL_MS = 20
CALLERS_PER_HOST = 4
E1_PATH = '/operator/table/backend_server/e1'


class Load:
    """A running system with callers at all hosts."""

    def __init__(self, fleet):
        self.zones = Zones(
            fleet,
            'patient',
            capacity=8,
            token_interval_ms=TOKEN_INTERVAL_MS,
        )
        self.zones.start_hosts()
        self.callers = []

    def call(self, hosts, tokens=TOKENS):
        caller = self.zones.start_caller(hosts, tokens)
        self.callers.append(caller)
        return caller

    def call_all(self, tokens=TOKENS):
        for order in ('abcd', 'bcda', 'cdab', 'dabc'):
            for _ in range(CALLERS_PER_HOST):
                self.call(order, tokens)

    def send_short_calls(self, seconds, alive='abcd'):
        """Send short requests to the given hosts for a number of seconds."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for name in alive:
                self.call(name, tokens=3)
            time.sleep(0.1)

    def runs_at(self, engine):
        return len(self.zones.fleet.record(engine)['runs'])

    def is_streaming(self, engine):
        runs = self.zones.fleet.record(engine)['runs']
        return any(run.get('state') == 'running' for run in runs)

    def process(self, name):
        member = self.zones.fleet.members[name]
        return member.process

    def known_to(self, name):
        """Return the hosts known to a host, querying each one by name."""
        address = self.zones.hosts[name]
        found = set()
        for queried in self.zones.hosts:
            path = f'/operator/hosts?name={queried}'
            listed = call(address, 'GET', path, headers=OPERATOR_AUTH)[1]
            found.update(host['host'] for host in listed['hosts'])
        return found


@pytest.fixture
def load():
    with Fleet() as fleet:
        yield Load(fleet)


@given('a running system with callers at all hosts')
def _running(load):
    load.call_all()
    for caller in load.callers:
        caller.wait_for(3)


@given(parsers.parse('within {seconds:d} s e1 runs a stream'))
def _streaming(load, seconds):
    # For a moment, an owner that has just taken e1 over grants nothing, and all
    # of the first streams may have gone to other engines.
    end_s = time.monotonic() + seconds
    while not load.is_streaming('e1'):
        assert time.monotonic() < end_s
        for name in 'abcd':
            load.call(name)
        time.sleep(0.25)


@when(parsers.parse('host {name} is killed'))
def _killed(load, name):
    load.zones.fleet.kill(name)


@when(parsers.parse('host c is paused for {seconds:d} s'))
def _paused(load, seconds):
    load.zones.fleet.pause('c')
    wait_until(lambda: 'c' not in load.known_to('a'), 'host a to drop c')
    time.sleep(seconds)
    load.zones.fleet.resume('c')


@when('the owner of e1 is killed')
def _owner_killed(load):
    load.owner = rendezvous_order('e1', ['a', 'c'])[0]
    load.zones.fleet.kill(load.owner)


@when('an operator sets e1 to leaving at d')
def _row_leaving(load):
    address = load.zones.hosts['d']
    row = call(address, 'GET', E1_PATH, headers=OPERATOR_AUTH)[1]
    row['fields']['state'] = 'leaving'
    status, body = call(address, 'PUT', E1_PATH, row, OPERATOR_AUTH)
    assert status == 200, body


@when('engine e1 reports that it is leaving')
def _engine_leaving(load):
    load.zones.fleet.control('e1', leaving=True)


@when('the platform lists e1 as leaving')
def _list_leaving(load):
    fleet = load.zones.fleet
    entry = {
        'region': 'region-a',
        'availability_zone': 'zone-a1',
        'address': fleet.members['e1'].address,
        'incarnation': 1,
        'state': 'leaving',
    }
    platform = fleet.members['platform'].address
    status, _ = call(platform, 'PUT', '/hosts/e1', entry)
    assert status == 204


@when('host a receives SIGTERM')
def _terminated(load):
    load.at_a = [
        caller
        for caller in load.callers
        if caller.options.addresses[0] == load.zones.hosts['a']
    ]
    load.process('a').terminate()


@then(parsers.parse('within {seconds:d} s host a no longer knows c'))
def _unknown_at_a(load, seconds):
    wait_until(
        lambda: 'c' not in load.known_to('a'), 'host a to drop c', seconds
    )


@then(parsers.parse('within {seconds:d} s all hosts know each other'))
def _all_know_each_other(load, seconds):
    everyone = set(load.zones.hosts)
    wait_until(
        lambda: all(load.known_to(name) >= everyone for name in everyone),
        'all hosts to know each other',
        seconds,
    )


@then(parsers.parse('within {seconds:d} s e1 receives new requests'))
def _new_work(load, seconds):
    before = load.runs_at('e1')
    stopped_host = getattr(load, 'owner', 'a')
    alive = ''.join(name for name in 'abcd' if name != stopped_host)
    end_s = time.monotonic() + seconds
    while load.runs_at('e1') == before and time.monotonic() < end_s:
        load.send_short_calls(0.2, alive)
    assert load.runs_at('e1') > before


@then('every caller receives its complete text')
def _complete_texts(load):
    for caller in load.callers:
        caller.join(30)
    unfinished = [
        caller.history for caller in load.callers if not caller.history.reason
    ]
    assert not unfinished
    assert load.zones.check(load.callers) == Findings()


@then(
    parsers.parse(
        'after {seconds:d} s e1 receives no new requests from any host'
    )
)
def _no_new_work(load, seconds):
    load.send_short_calls(seconds)
    before = load.runs_at('e1')
    load.send_short_calls(2)
    assert load.runs_at('e1') == before
    assert load.runs_at('e2') > 0


@then('no stream of e1 was interrupted')
def _uninterrupted(load):
    runs = load.zones.fleet.record('e1')['runs']
    assert runs
    assert {run['end'] for run in runs} == {'length'}


@then('its health check fails while its streams continue')
def _unhealthy(load):
    address = load.zones.hosts['a']
    wait_until(
        lambda: call(address, 'GET', '/healthz')[0] == 503,
        'the health check to fail',
        1,
    )
    assert any(not caller.history.reason for caller in load.at_a)


@then('its callers finish without reconnecting, and it exits with status 0')
def _finished(load):
    for caller in load.at_a:
        caller.join(30)
        assert caller.history.reason
        assert not caller.history.reconnects
    assert load.process('a').wait(10) == 0
