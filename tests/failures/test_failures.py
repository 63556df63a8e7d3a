"""Generations during failures of real processes."""

import time
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.zones import ACTIVE_STATES, OPERATOR_AUTH, Zones, wait_until
from standins.calls import call
from standins.launching import Fleet

scenarios('failures.feature')

TOKEN_INTERVAL_MS = 5
MS_PER_S = 1000
CALLER_TIMEOUT_S = 25
LATE_TOKENS_READ_S = 0.5  # time for late tokens to arrive
BUFFERS_FULL_AFTER_S = 2.5
KIB = 1024
FAST_TOKEN_INTERVAL_MS = 0.2
GENERATION_SETTINGS = {
    'patient_silence_s': 1,
    'eager_silence_s': 0.4,
    'heartbeat_s': 0.3,
}
LIMIT_SETTINGS = {'caller_buffer_bytes': 16 * KIB}


class Scene:
    """State of one scenario.

    Attributes:
        zones: the running system.
        callers: callers by name.
        failed_engine: the engine that the scenario makes fail.
        tokens_at_leave: tokens computed when the caller disconnected.
    """

    def __init__(self, zones):
        self.zones = zones
        self.callers = {}
        self.failed_engine = ''
        self.tokens_at_leave = 0

    def add(self, name, hosts, tokens, **wanted):
        caller = self.zones.start_caller(hosts, tokens, **wanted)
        self.callers[name] = caller
        wait_until(lambda: self.generation(name), f'{name} to start')

    def generation(self, name):
        story = self.callers[name].history
        return story.received.generation

    def runs(self, name):
        return self.zones.runs(self.generation(name))

    def wait_for_end(self, name):
        caller = self.callers[name]
        caller.join(CALLER_TIMEOUT_S)
        assert not caller.is_alive()
        return caller.history


@pytest.fixture(scope='module')
def zones():
    with Fleet() as fleet:
        started = Zones(fleet, 'patient', token_interval_ms=TOKEN_INTERVAL_MS)
        started.start_hosts(
            generations=GENERATION_SETTINGS, limits=LIMIT_SETTINGS
        )
        yield started


@pytest.fixture
def scene(zones):
    current = Scene(zones)
    yield current
    zones.restore()
    for engine in zones.engines:
        zones.fleet.control(
            engine, prefill_ms=0, token_interval_ms=TOKEN_INTERVAL_MS
        )
    for caller in current.callers.values():
        caller.leave()
    findings = zones.check(current.callers.values())
    assert findings.is_clean, findings


@given(parsers.parse('the service is {policy}'))
def _policy(zones, scene, policy):
    zones.set_policy(policy)


@given(parsers.parse('engines take {milliseconds:d} ms for the prefill'))
def _prefill(zones, scene, milliseconds):
    for engine in zones.engines:
        zones.fleet.control(engine, prefill_ms=milliseconds)


@given('engines compute as fast as they can')
def _fast(zones, scene):
    for engine in zones.engines:
        zones.fleet.control(engine, token_interval_ms=FAST_TOKEN_INTERVAL_MS)


@given(
    parsers.parse('caller {name} of hosts {hosts} requests {count:d} tokens')
)
def _caller(scene, name, hosts, count):
    scene.add(name, hosts, count)


@given(
    parsers.parse(
        'caller {name} of hosts {hosts} requests {count:d} tokens '
        'under key {key}'
    )
)
def _caller_with_key(scene, name, hosts, count, key):
    scene.add(name, hosts, count, key=key)


@given(parsers.parse('8 callers of all hosts request {count:d} tokens'))
def _callers_of_all_hosts(scene, count):
    for host in 'abcdabcd':
        scene.add(f'{host}{len(scene.callers)}', host, count)


@given(
    parsers.parse('caller {name} of hosts {hosts} follows the same generation')
)
def _follower(zones, scene, name, hosts):
    scene.callers[name] = zones.start_reader(hosts, scene.generation('x'))


@given(parsers.parse('the engine of {name} dies after {count:d} tokens'))
def _engine_dies(zones, scene, name, count):
    scene.failed_engine = zones.engine_of(scene.callers[name])
    zones.fleet.control(scene.failed_engine, die_after_tokens=count)


@given(parsers.parse('every other engine dies after {count:d} tokens'))
def _other_engines_die(zones, scene, count):
    for engine in set(zones.engines) - {scene.failed_engine}:
        zones.fleet.control(engine, die_after_tokens=count)


@given('the platform is down')
def _platform_down(zones, scene):
    zones.fleet.control('platform', down=True)


def _dead_engines(zones):
    return [
        engine
        for engine in zones.engines
        if zones.fleet.control(engine)['dead']
    ]


@when(parsers.parse('{count:d} engines have died and all recover'))
def _revive(zones, count):
    wait_until(lambda: len(_dead_engines(zones)) >= count, 'engines to die')
    for engine in zones.engines:
        zones.fleet.control(engine, die_after_tokens=None, dead=False)


@when(
    parsers.parse(
        '{name} has {count:d} tokens and '
        'two engines with running work are killed'
    )
)
def _kill_two(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    busy_engines = sorted(
        {run['engine'] for run in zones.runs() if run['state'] in ACTIVE_STATES}
    )
    assert len(busy_engines) > 1
    for engine in busy_engines[:2]:
        zones.kill_engine(engine)


@when(
    parsers.re(
        r'(?P<name>\w+) has (?P<count>\d+) tokens and '
        r'its engine is (?P<failure>killed|frozen)'
    )
)
def _fail_engine(zones, scene, name, count, failure):
    caller = scene.callers[name]
    caller.wait_for(int(count))
    scene.failed_engine = zones.engine_of(caller)
    if failure == 'killed':
        zones.kill_engine(scene.failed_engine)
    else:
        zones.fleet.pause(scene.failed_engine)


@when(parsers.parse('{name} has {count:d} tokens and the engine is resumed'))
def _resume_engine(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    wait_until(lambda: len(scene.runs(name)) > 1, f'the work of {name} to move')
    zones.fleet.resume(scene.failed_engine)


@when(
    parsers.re(
        r'(?P<name>\w+) has (?P<count>\d+) tokens and '
        r'host (?P<host>\w) is (?P<action>killed|paused|resumed)'
    )
)
def _act_on_host(zones, scene, name, count, host, action):
    scene.callers[name].wait_for(int(count))
    fleet = zones.fleet
    actions = {
        'killed': fleet.kill,
        'paused': fleet.pause,
        'resumed': fleet.resume,
    }
    actions[action](host)


@when(
    parsers.parse(
        '{name} has {count:d} tokens and host {host} is killed '
        'with the replica of {_name}'
    )
)
def _kill_host_and_replica(zones, scene, name, count, host):
    caller = scene.callers[name]
    caller.wait_for(count)
    replica = zones.replica_of(caller, host)
    zones.fleet.kill(host)
    zones.fleet.kill(replica)


@when(
    parsers.parse('{name} has {count:d} tokens and the zones are disconnected')
)
def _disconnect_zones(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    zones.cut_zones()


@when(parsers.parse('{name} reconnects to a host in the other zone'))
def _reconnect(scene, name):
    scene.callers[name].drop_connection()


@when(parsers.parse('the zones are reconnected after {seconds:d} seconds'))
def _reconnect_zones(zones, seconds):
    time.sleep(seconds)
    zones.restore_links()


@when(parsers.parse('{name} has {count:d} tokens and disconnects'))
def _disconnect(zones, scene, name, count):
    caller = scene.callers[name]
    caller.wait_for(count)
    caller.leave()
    scene.tokens_at_leave = len(scene.runs(name)[0]['tokens'])


@when(
    parsers.parse(
        '{count:d} callers of host {host} request {tokens:d} tokens '
        'and read none'
    )
)
def _callers_that_do_not_read(zones, scene, count, host, tokens):
    for number in range(count):
        scene.callers[f's{number}'] = zones.start_caller(
            host, tokens, reads=False, read_timeout_s=CALLER_TIMEOUT_S
        )
    # All buffers for these callers are full after this time.
    time.sleep(BUFFERS_FULL_AFTER_S)


@then(
    parsers.parse(
        'the memory of host {host} grows by less than {mebibytes:d} MiB '
        'in {seconds:d} s'
    )
)
def _memory_bounded(zones, scene, host, mebibytes, seconds):
    before_kib = _memory_kib(zones, host)
    time.sleep(seconds)
    growth_kib = _memory_kib(zones, host) - before_kib
    assert {caller.history.error for caller in scene.callers.values()} == {''}
    assert growth_kib < mebibytes * KIB


def _memory_kib(zones, host):
    pid = zones.fleet.members[host].pid
    status = Path(f'/proc/{pid}/status').read_text()
    values = dict(line.split(':', 1) for line in status.splitlines())
    return int(values['VmRSS'].split()[0])


@then(parsers.parse('{name} receives all {count:d} tokens'))
def _received_all(scene, name, count):
    story = scene.wait_for_end(name)
    assert (story.error, story.reason) == ('', 'length')
    assert story.received.total == len(story.moments) == count


@then(parsers.parse('all callers receive all {count:d} tokens'))
def _all_received_all(scene, count):
    for name in scene.callers:
        _received_all(scene, name, count)


@then(parsers.parse('{count:d} engine has died'))
def _engines_died(zones, count):
    assert len(_dead_engines(zones)) == count


@then(parsers.parse('the engines recorded {count:d} runs of {name}'))
def _recorded_runs(scene, count, name):
    assert len(scene.runs(name)) == count


@then(parsers.parse('{name} reconnected'))
def _reconnected(scene, name):
    assert scene.callers[name].history.reconnects


@then(
    parsers.parse(
        'host {host} records that {name} has moved and '
        'delivers no more tokens of it'
    )
)
def _moved(zones, scene, host, name):
    path = f'/operator/timeline?generation={scene.generation(name)}'

    def _moved_events():
        answer = call(zones.hosts[host], 'GET', path, headers=OPERATOR_AUTH)[1]
        return [
            event
            for event in answer['events']
            if (event['host'], event['event']) == (host, 'generation_moved')
        ]

    wait_until(_moved_events, f'{host} to record the move')
    caller = scene.callers[name]
    assert caller.abandoned
    assert caller.late_tokens(LATE_TOKENS_READ_S) == 0


@then(parsers.parse('reading {name} again at host {host} gives the same text'))
def _new_reader(zones, scene, host, name):
    scene.callers['reader'] = zones.start_reader(host, scene.generation(name))
    _same_text(scene, 'reader', name)


@then(parsers.parse('{name} receives the same text as {other}'))
def _same_text(scene, name, other):
    texts = [
        [
            received.token
            for received in scene.wait_for_end(caller_name).received.tokens
        ]
        for caller_name in (name, other)
    ]
    assert texts[0] == texts[1]
    assert scene.generation(name) == scene.generation(other)


@then(parsers.parse('{name} ends with {code}'))
def _error(scene, name, code):
    assert scene.wait_for_end(name).error == code


@then(
    parsers.parse('{name} either receives the whole text or fails with {code}')
)
def _received_all_or_error(scene, name, code):
    story = scene.wait_for_end(name)
    assert story.reason == 'length' or story.error == code


@then(
    parsers.parse('its engine computes tokens for less than {seconds:d} s more')
)
def _run_cancelled(scene, seconds):
    # Measured in tokens of the engine, not in time: a busy machine slows the
    # engine and the cancellation alike.
    wait_until(
        lambda: scene.runs('x')[0]['state'] == 'cancelled',
        'the run to be cancelled',
    )
    tokens_after = len(scene.runs('x')[0]['tokens']) - scene.tokens_at_leave
    assert tokens_after < seconds * MS_PER_S / TOKEN_INTERVAL_MS
