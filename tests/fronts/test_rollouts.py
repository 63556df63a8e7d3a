"""Roll-outs of software versions, with real processes."""

import itertools
import json
import re
import secrets
import threading
import time
from urllib.request import urlopen

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.cli import main
from standins.fronts import (
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('rollouts.feature')

ZONES = ('north-1', 'north-2')
SHARE = 0.2
SLACK = 20
WORK_MS = 25
WORKERS = 6
PAUSE_S = 0.12
STREAMS = 8
EVENTS = 30


class Load:
    """Callers that send requests until they are stopped."""

    def __init__(self, rig):
        self.rig = rig
        self.sent = []  # wall time of each request
        self.answers = []
        self.versions = {}
        self.ended_runs = []  # of servers of v1 that were stopped
        self.ordered_at = 0
        self.period_s = 0
        self.stopping = threading.Event()
        self.threads = []

    def start(self, act, workers):
        fronts = itertools.cycle(list(self.rig.fronts))
        for _ in range(workers):
            thread = threading.Thread(target=self.work, args=(act, fronts))
            thread.start()
            self.threads.append(thread)

    def work(self, act, fronts):
        while not self.stopping.is_set():
            front = next(fronts)
            address = self.rig.fronts.get(front)
            if address is not None:
                self.sent.append(time.time())
                self.answers.append(act(address))
            time.sleep(PAUSE_S)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def add_servers(self, service, version, names, **switches):
        self.start_servers(version, names, **switches)
        self.register(service, version, names)

    def start_servers(self, version, names, **switches):
        for name in names:
            self.versions[name] = version
            self.rig.servers[name] = self.rig.start_server(name)
            self.rig.fleet.control(name, **switches)

    def register(self, service, version, names):
        for number, name in enumerate(names):
            zone = ZONES[number % 2]
            self.rig.register(name, service, zone, version=version)

    def order(self, service, period_s, to='v2'):
        self.period_s = period_s
        self.rig.order(service, to, period_s)
        self.ordered_at = time.time()

    def runs_of(self, version):
        runs = [
            run
            for name, owned in self.versions.items()
            if owned == version
            for run in self.rig.runs(name)
        ]
        return runs + self.ended_runs if version == 'v1' else runs


def _lookup(address):
    return send(
        address,
        LOOKUP_PATH,
        method='GET',
        body=None,
        headers=request_headers(),
    )


def _stream(address):
    headers = request_headers(
        Deadline_Ms='12000',
        Token_Count=f'350,{EVENTS * 7}',
        Prompt_Prefix=f'c0ffee:200,{secrets.token_hex(4)}:150',
    )
    body = secrets.token_hex(8).encode()
    return send(address, STREAM_PATH, body=body, headers=headers)


@pytest.fixture
def load(rig):
    load = Load(rig)
    yield load
    load.stop()


@pytest.fixture
def bad():
    """Switches of the new version's servers."""
    return {}


@given(
    'a platform with 3 desks of v1 in each of two zones', target_fixture='rig'
)
def _platform(fleet):
    return PlatformRig(fleet)


@given('fronts f1, f2 in north-1 and f3 in north-2 that allow roll-outs')
def _fronts(rig, load):
    names = [f'old-{number}' for number in range(6)]
    load.add_servers('desk', 'v1', names, work_ms=WORK_MS)
    for name, zone in zip(
        ('f1', 'f2', 'f3'), (*ZONES[:1], *ZONES), strict=True
    ):
        rig.add_front(
            name,
            zone=zone,
            shares=True,
            exposure_share=SHARE,
            exposure_slack=SLACK,
        )


@when('lookups are sent to all fronts')
def _send_lookups(load):
    load.start(_lookup, WORKERS)
    time.sleep(1)


@when('desks of v1 are engines of streams')
def _engines(load):
    names = [f'engine-{number}' for number in range(2)]
    load.add_servers('narrator', 'v1', names)


@when('streams are sent to all fronts')
def _send_streams(load):
    load.start(_stream, STREAMS)
    time.sleep(1)


@when('desks of v2 are as good as the others')
def _good():
    """Leave the switches as they are."""


@when(
    parsers.parse('desks of v2 answer {share:g} of the requests with a failure')
)
def _failing(bad, share):
    bad['fail_share'] = share


@when(parsers.parse('desks of v2 take {times:d} times as long'))
def _slow(bad, times):
    bad['work_ms'] = WORK_MS * times


@when(parsers.parse('v2 is ordered within {period:g} s and its desks come'))
def _order(load, bad, period):
    names = [f'new-{number}' for number in range(6)]
    load.start_servers('v2', names, **{'work_ms': WORK_MS, **bad})
    load.order('desk', period)
    load.register('desk', 'v2', names)


@when(parsers.parse('v2 is ordered within {period:g} s and its engines come'))
def _order_engines(load, period):
    load.order('narrator', period)
    names = [f'new-engine-{number}' for number in range(2)]
    load.add_servers('narrator', 'v2', names)


@when(
    parsers.re(
        'the deciding front is (?P<lost>killed|frozen) when the stage is '
        r'(?P<stage>\w+)'
    )
)
def _lose(rig, fleet, lost, stage):
    step = _wait_for_stage(rig, stage)
    name = step['host'].partition('/')[0]
    time.sleep(0.5)
    rig.fronts.pop(name)
    if lost == 'killed':
        fleet.kill(name)
        return
    fleet.pause(name)

    def wake():
        time.sleep(4)
        fleet.resume(name)

    threading.Thread(target=wake).start()


@when(
    parsers.parse('the store is away for {span:g} s when the stage is {stage}')
)
def _away(rig, fleet, span, stage):
    _wait_for_stage(rig, stage)
    fleet.control('store', refuse=True)
    time.sleep(span)
    fleet.control('store', refuse=False)


@when('the row of the steps is written by something else')
def _overwrite(rig):
    rig.put('rollouts', 'desk', {'stage': 'paused'})


@when(
    parsers.parse(
        'the row of the steps is written by something else when the stage is '
        '{stage}'
    )
)
def _overwrite_at(rig, stage):
    _wait_for_stage(rig, stage)
    time.sleep(0.5)
    _overwrite(rig)


@when(parsers.parse('the order is withdrawn when the stage is {stage}'))
def _withdraw(rig, stage):
    _wait_for_stage(rig, stage)
    time.sleep(1)
    rig.put('op', 'rollout/desk', None)


@when('the command line lists it when the stage is trial')
def _list(rig, capsys):
    _wait_for_stage(rig, 'trial')
    assert main(['rollout', 'list', '--store', rig.store, '--json']) == 0
    (listed,) = json.loads(capsys.readouterr().out)
    assert (listed['service'], listed['to']) == ('desk', 'v2')
    assert listed['stage'] == 'trial'


@when('orders are written that cannot be read or name an unknown service')
def _write_bad(rig):
    rig.put('op', 'rollout/desk', {'service': 'desk', 'to': 'v2'})
    rig.put(
        'op',
        'rollout/narrator',
        {'service': 'narrator', 'to': 'v2', 'periodS': 0},
    )
    rig.order('nobody', 'v2', 10)


@then('the desks of v1 go on and each bad order is logged once at each front')
def _bad_orders(rig, fleet, load):
    time.sleep(2)
    answered = len(load.answers)
    time.sleep(1)
    assert len(load.answers) > answered
    assert all(answer.status == 200 for answer in load.answers)
    for name in rig.fronts:
        log = fleet.log(name)
        assert len(re.findall('roll-out order unreadable', log)) == 2
        assert log.count('roll-out of an unknown service') == 1


@then(parsers.parse('the status is {state} within {span:g} s of the order'))
def _status(rig, load, state, span):
    _await_status(rig, load, 'desk', state, span)


@then(
    parsers.parse(
        'the status of the engines is {state} within {span:g} s of the order'
    )
)
def _engine_status(rig, load, state, span):
    _await_status(rig, load, 'narrator', state, span)
    for name in ('engine-0', 'engine-1'):
        load.ended_runs.extend(rig.runs(name))
        load.versions.pop(name)
        rig.servers.pop(name)
        rig.fleet.kill(name)
        rig.put('servers', name, None)
    time.sleep(2)


def _await_status(rig, load, service, state, span):
    seen = []
    while time.time() < load.ordered_at + span:
        status = rig.content('status', f'rollout/{service}')
        if status is not None and status['state'] not in seen[-1:]:
            assert status['to'] == 'v2'
            seen.append(status['state'])
        if seen[-1:] == [state]:
            break
        time.sleep(0.05)
    assert seen[-1:] == [state], seen
    assert set(seen[:-1]) <= {'running'}, seen


@then(
    parsers.parse(
        'v2 got at most {share:g} of the requests and {slack:d} until the '
        'deadline'
    )
)
def _exposure(load, share, slack):
    ends = load.ordered_at + load.period_s
    time.sleep(max(ends - time.time(), 0))
    sent = sum(load.ordered_at <= at <= ends for at in load.sent)
    lag = time.time() - time.monotonic()
    exposed = sum(run['began_s'] + lag <= ends for run in load.runs_of('v2'))
    assert 0 < exposed <= share * sent + slack


@then(parsers.parse('after a second only {version} is sent requests'))
def _only(load, version):
    time.sleep(1)
    other = {'v1': 'v2', 'v2': 'v1'}[version]
    before = len(load.runs_of(other))
    served = len(load.runs_of(version))
    time.sleep(1.5)
    assert len(load.runs_of(other)) == before
    assert len(load.runs_of(version)) > served


@then('a front has logged and counted the row')
def _refused(rig, fleet):
    counts = [
        re.findall(
            r'unreadable_rollout_steps_total ([\d.]+)', _metrics(address)
        )
        for address in rig.health.values()
    ]
    assert sum(float(count) for found in counts for count in found) >= 2
    logs = ''.join(fleet.log(name) for name in rig.fronts)
    assert 'roll-out step unreadable' in logs
    assert 'its row was unreadable' in logs


@then('no caller got an error')
def _no_errors(load):
    load.stop()
    assert {answer.status for answer in load.answers} == {200}


@then('no stream has events of two versions')
def _unmixed(load):
    load.stop()
    by_request = {}
    for version in ('v1', 'v2'):
        for run in load.runs_of(version):
            if run['events'] > run['first']:
                served = by_request.setdefault(run['request_id'], set())
                served.add(version)
    assert by_request
    assert all(len(versions) == 1 for versions in by_request.values())
    assert {'v1', 'v2'} == set.union(*by_request.values())


def _metrics(address):
    with urlopen(f'http://{address}/metrics') as response:
        return response.read().decode()


def _wait_for_stage(rig, stage):
    ends_s = time.monotonic() + 15
    while time.monotonic() < ends_s:
        step = rig.content('rollouts', 'desk')
        if step is not None and step['stage'] == stage:
            return step
        time.sleep(0.02)
    raise AssertionError(f'no stage {stage}')
