"""Generations through failures of real processes."""

import time
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.zones import ACTIVE_STATES, OPERATOR_AUTH, Zones, wait_until
from standins.calls import call
from standins.launching import Fleet

scenarios('failures.feature')

INTERVAL_MS = 5
MS_PER_S = 1000
JOIN_S = 25
LATE_S = 0.5
FULL_S = 2.5
KIB = 1024
FASTEST_MS = 0.2
GENERATIONS = {
    'patient_silence_s': 1,
    'eager_silence_s': 0.4,
    'heartbeat_s': 0.3,
}
LIMITS = {'caller_buffer_bytes': 16 * KIB}


class Scene:
    """The callers of a scenario, and what it counts."""

    def __init__(self, zones):
        self.zones = zones
        self.callers = {}
        self.struck = ''
        self.left = 0

    def add(self, name, hosts, tokens, **wanted):
        caller = self.zones.start_caller(hosts, tokens, **wanted)
        self.callers[name] = caller
        wait_until(lambda: self.generation(name), f'{name} to begin')

    def generation(self, name):
        story = self.callers[name].story
        return story.received.generation

    def runs(self, name):
        return self.zones.runs(self.generation(name))

    def ended(self, name):
        caller = self.callers[name]
        caller.join(JOIN_S)
        assert not caller.is_alive()
        return caller.story


@pytest.fixture(scope='module')
def zones():
    with Fleet() as fleet:
        started = Zones(fleet, 'patient', token_interval_ms=INTERVAL_MS)
        started.start_hosts(generations=GENERATIONS, limits=LIMITS)
        yield started


@pytest.fixture
def scene(zones):
    one = Scene(zones)
    yield one
    zones.restore()
    for engine in zones.engines:
        zones.fleet.control(engine, prefill_ms=0, token_interval_ms=INTERVAL_MS)
    for caller in one.callers.values():
        caller.leave()
    findings = zones.check(one.callers.values())
    assert findings.is_clean, findings


@given(parsers.parse('the service is {policy}'))
def _policy(zones, scene, policy):
    zones.set_policy(policy)


@given(parsers.parse('engines take {milliseconds:d} ms to begin'))
def _prefill(zones, scene, milliseconds):
    for engine in zones.engines:
        zones.fleet.control(engine, prefill_ms=milliseconds)


@given('engines compute as fast as they can')
def _fast(zones, scene):
    for engine in zones.engines:
        zones.fleet.control(engine, token_interval_ms=FASTEST_MS)


@given(parsers.parse('caller {name} of hosts {hosts} wants {count:d} tokens'))
def _caller(scene, name, hosts, count):
    scene.add(name, hosts, count)


@given(
    parsers.parse(
        'caller {name} of hosts {hosts} wants {count:d} tokens under key {key}'
    )
)
def _keyed(scene, name, hosts, count, key):
    scene.add(name, hosts, count, key=key)


@given(parsers.parse('callers of all hosts want {count:d} tokens'))
def _many(scene, count):
    for host in 'abcdabcd':
        scene.add(f'{host}{len(scene.callers)}', host, count)


@given(
    parsers.parse('caller {name} of hosts {hosts} follows the same generation')
)
def _follower(zones, scene, name, hosts):
    scene.callers[name] = zones.start_reader(hosts, scene.generation('x'))


@given(parsers.parse('the engine of {name} dies after {count:d} tokens'))
def _fuse(zones, scene, name, count):
    scene.struck = zones.engine_of(scene.callers[name])
    zones.fleet.control(scene.struck, die_after_tokens=count)


@given(parsers.parse('every other engine dies after {count:d} tokens'))
def _fuses(zones, scene, count):
    for engine in set(zones.engines) - {scene.struck}:
        zones.fleet.control(engine, die_after_tokens=count)


@given('the platform is down')
def _down(zones, scene):
    zones.fleet.control('platform', down=True)


def _dead(zones):
    return [
        engine
        for engine in zones.engines
        if zones.fleet.control(engine)['dead']
    ]


@when(parsers.parse('{count:d} engines have died they come back'))
def _revive(zones, count):
    wait_until(lambda: len(_dead(zones)) >= count, 'engines to die')
    for engine in zones.engines:
        zones.fleet.control(engine, die_after_tokens=None, dead=False)


@when(
    parsers.parse(
        '{name} has {count:d} tokens and two engines at work are killed'
    )
)
def _kill_two(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    working = sorted(
        {run['engine'] for run in zones.runs() if run['state'] in ACTIVE_STATES}
    )
    assert len(working) > 1
    for engine in working[:2]:
        zones.kill_engine(engine)


@when(
    parsers.re(
        r'(?P<name>\w+) has (?P<count>\d+) tokens and '
        r'its engine is (?P<what>killed|frozen)'
    )
)
def _strike_engine(zones, scene, name, count, what):
    caller = scene.callers[name]
    caller.wait_for(int(count))
    scene.struck = zones.engine_of(caller)
    if what == 'killed':
        zones.kill_engine(scene.struck)
    else:
        zones.fleet.pause(scene.struck)


@when(parsers.parse('{name} has {count:d} tokens and the engine wakes'))
def _wake_engine(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    zones.fleet.resume(scene.struck)


@when(
    parsers.re(
        r'(?P<name>\w+) has (?P<count>\d+) tokens and '
        r'host (?P<host>\w) (is )?(?P<what>killed|paused|wakes)'
    )
)
def _strike_host(zones, scene, name, count, host, what):
    scene.callers[name].wait_for(int(count))
    fleet = zones.fleet
    strike = {
        'killed': fleet.kill,
        'paused': fleet.pause,
        'wakes': fleet.resume,
    }
    strike[what](host)


@when(
    parsers.parse(
        '{name} has {count:d} tokens and host {host} is killed '
        'with the replica of {_name}'
    )
)
def _kill_both(zones, scene, name, count, host):
    caller = scene.callers[name]
    caller.wait_for(count)
    replica = zones.replica_of(caller, host)
    zones.fleet.kill(host)
    zones.fleet.kill(replica)


@when(parsers.parse('{name} has {count:d} tokens and the zones are cut'))
def _cut(zones, scene, name, count):
    scene.callers[name].wait_for(count)
    zones.cut_zones()


@when(parsers.parse('{name} goes to the other side'))
def _hop(scene, name):
    scene.callers[name].hop()


@when(parsers.parse('the zones are joined after {seconds:d} seconds'))
def _join(zones, seconds):
    time.sleep(seconds)
    zones.restore_links()


@when(parsers.parse('{name} has {count:d} tokens and leaves'))
def _leave(zones, scene, name, count):
    caller = scene.callers[name]
    caller.wait_for(count)
    caller.leave()
    scene.left = len(scene.runs(name)[0]['tokens'])


@when(
    parsers.parse(
        '{count:d} callers of host {host} want {tokens:d} tokens and read none'
    )
)
def _slow(zones, scene, count, host, tokens):
    for number in range(count):
        scene.callers[f's{number}'] = zones.start_caller(
            host, tokens, reads=False, patience_s=JOIN_S
        )
    # By then all that may be buffered for them is.
    time.sleep(FULL_S)


@then(
    parsers.parse(
        'host {host} grows by less than {mebibytes:d} MiB in {seconds:d} s'
    )
)
def _bounded(zones, scene, host, mebibytes, seconds):
    before = _memory_kib(zones, host)
    time.sleep(seconds)
    grown = _memory_kib(zones, host) - before
    assert {one.story.error for one in scene.callers.values()} == {''}
    assert grown < mebibytes * KIB


def _memory_kib(zones, host):
    pid = zones.fleet.members[host].pid
    status = Path(f'/proc/{pid}/status').read_text()
    told = dict(line.split(':', 1) for line in status.splitlines())
    return int(told['VmRSS'].split()[0])


@then(parsers.parse('{name} gets all {count:d} tokens'))
def _whole(scene, name, count):
    story = scene.ended(name)
    assert (story.error, story.reason) == ('', 'length')
    assert story.received.total == len(story.moments) == count


@then(parsers.parse('all callers get all {count:d} tokens'))
def _all_whole(scene, count):
    for name in scene.callers:
        _whole(scene, name, count)


@then(parsers.parse('{count:d} engine has died'))
def _died(zones, count):
    assert len(_dead(zones)) == count


@then(parsers.parse('{count:d} runs worked on {name}'))
def _worked(scene, count, name):
    assert len(scene.runs(name)) == count


@then(parsers.parse('{name} reconnected'))
def _reconnected(scene, name):
    assert scene.callers[name].story.reconnects


@then(
    parsers.parse('{host} learns that {name} moved and delivers no more of it')
)
def _moved(zones, scene, host, name):
    path = f'/operator/timeline?generation={scene.generation(name)}'

    def _told():
        answer = call(zones.hosts[host], 'GET', path, headers=OPERATOR_AUTH)[1]
        return [
            event
            for event in answer['events']
            if (event['host'], event['event']) == (host, 'generation_moved')
        ]

    wait_until(_told, f'{host} to notice')
    caller = scene.callers[name]
    assert caller.abandoned
    assert caller.late_tokens(LATE_S) == 0


@then(parsers.parse('host {host} tells the same text of {name} again'))
def _read_again(zones, scene, host, name):
    scene.callers['again'] = zones.start_reader(host, scene.generation(name))
    _same(scene, 'again', name)


@then(parsers.parse('{name} gets the same text as {other}'))
def _same(scene, name, other):
    texts = [
        [one.token for one in scene.ended(which).received.tokens]
        for which in (name, other)
    ]
    assert texts[0] == texts[1]
    assert scene.generation(name) == scene.generation(other)


@then(parsers.parse('{name} ends with {code}'))
def _error(scene, name, code):
    assert scene.ended(name).error == code


@then(parsers.parse('{name} ends whole or with {code}'))
def _whole_or(scene, name, code):
    story = scene.ended(name)
    assert story.reason == 'length' or story.error == code


@then(parsers.parse('its engine computes for less than {seconds:d} s more'))
def _cancelled(scene, seconds):
    # Counted in the engine's own steps: a busy machine slows both alike.
    wait_until(
        lambda: scene.runs('x')[0]['state'] == 'cancelled', 'a cancelled run'
    )
    more = len(scene.runs('x')[0]['tokens']) - scene.left
    assert more < seconds * MS_PER_S / INTERVAL_MS
