"""A front beside backend servers that send without end."""

import threading
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.units import KIBIBYTE, MEBIBYTE
from standins.endless import EndlessServers
from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('endless.feature')

TOKENS_PER_EVENT = 7


class Scene:
    """The endless servers of a scenario and the caller's last answer."""

    def __init__(self, rig):
        self.rig = rig
        self.endless = None
        self.answer = None
        self.memory_kib = 0

    def start(self, kind, service, count=1):
        self.endless = EndlessServers(kind, count)
        self.endless.__enter__()
        for number, address in enumerate(self.endless.addresses):
            entry = {
                'service': service,
                'address': address,
                'zone': 'north-1',
                'state': 'ready',
                'slots': 12,
            }
            self.rig.put('servers', f'endless{number}', entry)

    def memory(self, field):
        front = self.rig.fleet.members['front']
        status = Path(f'/proc/{front.pid}/status').read_text()
        values = dict(line.split(':', 1) for line in status.splitlines())
        return int(values[field].split()[0])


@given('a platform', target_fixture='scene')
def _platform(fleet):
    scene = Scene(PlatformRig(fleet))
    yield scene
    if scene.endless is not None:
        scene.endless.__exit__()


@given(parsers.parse('a front and a desk that sends {kind} without end'))
def _desk(scene, kind):
    scene.start(kind, 'desk')
    scene.rig.add_front('front')


@given(
    parsers.parse('a front and {count:d} desks that send {kind} without end')
)
def _desks(scene, count, kind):
    scene.start(kind, 'desk', count)
    scene.rig.add_front('front')
    scene.memory_kib = scene.memory('VmRSS')


@given(
    parsers.parse(
        'a front, an engine that sends {kind} without end and a sound one'
    )
)
def _engines(scene, kind):
    scene.start(kind, 'narrator')
    scene.rig.add_server('sound', 'narrator', 'north-2')
    scene.rig.add_front('front')


@given('a front and an engine that sends events without end')
def _engine(scene):
    scene.start('events', 'narrator')
    scene.rig.add_front('front')


@when('a caller buys')
def _buys(scene):
    scene.answer = send(
        scene.rig.fronts['front'], CALL_PATH, headers=request_headers()
    )


@when('a caller looks up once')
def _looks_up(scene):
    scene.answer = send(
        scene.rig.fronts['front'], LOOKUP_PATH, headers=request_headers()
    )


@when(parsers.parse('{count:d} callers look up at once'))
def _look_up(scene, count):
    callers = [
        threading.Thread(target=_looks_up, args=(scene,)) for _ in range(count)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


@when(parsers.parse('a caller requests a stream of {events:d} events'))
def _streams(scene, events):
    tokens = f'100,{events * TOKENS_PER_EVENT}'
    scene.answer = send(
        scene.rig.fronts['front'],
        STREAM_PATH,
        headers=request_headers(Token_Count=tokens),
    )


@then(parsers.parse('the caller gets {status:d} within {span:g} s'))
def _gets(scene, status, span):
    assert scene.answer.status == status
    assert scene.answer.whole
    assert scene.answer.took_s < span


@then(
    parsers.parse('each connection was closed after at most {mebibytes:d} MiB')
)
def _closed(scene, mebibytes):
    assert scene.endless.connections
    # Includes what the kernel buffers on both sides.
    limit_bytes = mebibytes * MEBIBYTE * scene.endless.connections
    assert scene.endless.sent_bytes < limit_bytes


@then('the front still answers')
def _answers(scene):
    address = scene.rig.fronts['front']
    answer = send(address, '/unknown', headers=request_headers())
    assert answer.status == 404
    assert answer.took_s < 1


@then(
    parsers.parse(
        'the caller has received events 1 to {last:d} and a complete answer'
    )
)
def _complete(scene, last):
    assert scene.answer.events == list(range(1, last + 1))
    assert scene.answer.whole


@then("the caller's answer is incomplete")
def _incomplete(scene):
    assert scene.answer.status == 200
    assert not scene.answer.whole


@then(parsers.parse('the caller has at most {count:d} events'))
def _at_most(scene, count):
    assert len(scene.answer.events) <= count


@then(
    parsers.parse("the front's memory has grown by at most {mebibytes:d} MiB")
)
def _memory(scene, mebibytes):
    grown_kib = scene.memory('VmHWM') - scene.memory_kib
    assert grown_kib < mebibytes * KIBIBYTE
    assert scene.endless.connections >= scene.endless.count / 2
