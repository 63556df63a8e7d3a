"""A front beside servers that send many small pieces without end."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.units import KIBIBYTE
from standins.endless import EndlessProcess
from standins.fronts import (
    ASK_PATH,
    CALL_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('small_pieces.feature')

TOKENS_PER_EVENT = 7
PURCHASES = 100
PURCHASE_PERIOD_S = 0.05
AIM_S = 0.3
LASTS_S = 0.2  # of purchases, after the first endless answers


class Scene:
    """The endless servers of a scenario, and the answers of callers."""

    def __init__(self, rig):
        self.rig = rig
        self.endless = None
        self.answers = []
        self.purchases = []
        self.memory_kib = 0

    def memory(self, field):
        front = self.rig.fleet.members['front']
        status = Path(f'/proc/{front.pid}/status').read_text()
        values = dict(line.split(':', 1) for line in status.splitlines())
        return int(values[field].split()[0])

    def send(self, path, **headers):
        address = self.rig.fronts['front']
        return send(address, path, headers=request_headers(**headers))

    def send_beside_purchases(self, count, path, **headers):
        def request():
            self.answers.append(self.send(path, **headers))

        callers = [threading.Thread(target=request) for _ in range(count)]
        for caller in callers:
            caller.start()
        time.sleep(LASTS_S)
        with ThreadPoolExecutor(PURCHASES) as executor:
            bought = []
            for _ in range(PURCHASES):
                bought.append(executor.submit(self.send, CALL_PATH))
                time.sleep(PURCHASE_PERIOD_S)
            self.purchases = [each.result() for each in bought]
        for caller in callers:
            caller.join()


@given('a platform with a sound desk', target_fixture='scene')
def _platform(fleet):
    scene = Scene(PlatformRig(fleet))
    scene.rig.add_server('sound', 'desk')
    yield scene
    scene.endless.close()


@given(
    parsers.parse('{count:d} engines that send {kind} without end, and a front')
)
def _engines(scene, count, kind):
    scene.endless = EndlessProcess(kind, count)
    for number, address in enumerate(scene.endless.addresses):
        entry = {
            'service': 'narrator',
            'address': address,
            'zone': 'north-1',
            'state': 'ready',
            'slots': 12,
        }
        scene.rig.put('servers', f'endless{number}', entry)
    scene.rig.add_front('front')
    scene.memory_kib = scene.memory('VmRSS')


@given('a sound engine')
def _sound(scene):
    scene.rig.add_server('narrator', 'narrator', 'north-2')


@when(parsers.parse('{count:d} callers ask the engines while others buy'))
def _ask(scene, count):
    scene.send_beside_purchases(count, ASK_PATH)


@when(
    parsers.parse(
        '{count:d} callers request streams of {events:d} events while others '
        'buy'
    )
)
def _stream(scene, count, events):
    tokens = f'100,{events * TOKENS_PER_EVENT}'
    scene.send_beside_purchases(count, STREAM_PATH, Token_Count=tokens)


@when(
    parsers.parse(
        '{count:d} callers request streams without a limit while others buy'
    )
)
def _stream_without_limit(scene, count):
    scene.send_beside_purchases(count, STREAM_PATH)


@when(parsers.parse('a caller requests a stream of {events:d} events'))
def _stream_once(scene, events):
    tokens = f'100,{events * TOKENS_PER_EVENT}'
    scene.answers.append(scene.send(STREAM_PATH, Token_Count=tokens))


@then('all purchases are answered, nine of ten of them within 0.3 s')
def _in_time(scene):
    assert {answer.status for answer in scene.purchases} == {200}
    slow_s = sorted(
        answer.took_s for answer in scene.purchases if answer.took_s > AIM_S
    )
    assert len(slow_s) <= PURCHASES / 10, slow_s


@then(
    parsers.parse("the front's memory has grown by at most {mebibytes:d} MiB")
)
def _memory(scene, mebibytes):
    grown_kib = scene.memory('VmHWM') - scene.memory_kib
    assert grown_kib < mebibytes * KIBIBYTE


@then('the callers of the engines get 502 or 504 within 6 s')
def _failed(scene):
    assert {answer.status for answer in scene.answers} <= {502, 504}
    assert max(answer.took_s for answer in scene.answers) < 6


@then(
    parsers.parse(
        'the caller has received events 1 to {last:d} and a complete answer '
        'within {span:g} s'
    )
)
def _complete(scene, last, span):
    answer = scene.answers[0]
    assert answer.events == list(range(1, last + 1))
    assert answer.whole
    assert answer.took_s < span


def _log(scene):
    return (scene.rig.fleet.folder / 'front.out').read_text()


@then('the front logs that an event was repeated')
def _logged(scene):
    assert 'event 1 repeated' in _log(scene)


@then('no request is quarantined')
def _not_quarantined(scene):
    assert '"quarantined' not in _log(scene)
