"""Prompt parts that crash engines, with real processes."""

import json
import re
import secrets
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.cli import main
from soak.records import read_runs
from standins.calls import call
from standins.crashing import CrashingEngines
from standins.fronts import (
    ASK_PATH,
    ORDER_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('crashing_parts.feature')

PATHS = {'streams': STREAM_PATH, 'lookups': ASK_PATH, 'orders': ORDER_PATH}
COMMON_PART = 'c0ffee01'
CRASHING_PART = 'bad0bad0'
STABLE_S = 4.0
EVENTS = 20
SOUND_PERIOD_S = 0.1
CRASHING_PERIOD_S = 0.25
POLL_S = 0.1


class Traffic:
    """Requests with the part and sound ones, at each front in turn."""

    def __init__(self, rig):
        self.rig = rig
        self.threads = []
        self.crashing = {}
        self.sound = []
        self.crashes_before = 0

    def runs(self):
        """Return the runs of all engines so far."""
        return read_runs(sorted(self.rig.fleet.folder.glob('engine-*.runs')))

    def play(self, path, span_s):
        """Send both for a span; return when all are answered."""
        ends_s = time.monotonic() + span_s
        players = [
            threading.Thread(target=self.repeat, args=arguments)
            for arguments in (
                (ends_s, CRASHING_PERIOD_S, self.send_crashing, path),
                (ends_s, SOUND_PERIOD_S, self.send_sound, STREAM_PATH),
            )
        ]
        for player in players:
            player.start()
        for thread in players + self.threads:
            thread.join()
        while self.threads:
            self.threads.pop().join()

    def repeat(self, ends_s, period_s, act, path):
        """Start requests in threads of their own, at each front in turn."""
        number = 0
        while time.monotonic() < ends_s:
            front = list(self.rig.fronts)[number % len(self.rig.fronts)]
            thread = threading.Thread(target=act, args=(front, path))
            thread.start()
            self.threads.append(thread)
            number += 1
            time.sleep(period_s)

    def send_crashing(self, front, path):
        """Send a request with the part; no two are alike otherwise."""
        other = secrets.token_hex(4)
        parts = f'{COMMON_PART}:200,{CRASHING_PART}:50,{other}:100'
        request_id = secrets.token_hex(8)
        self.crashing[request_id] = self.request(front, path, parts, request_id)

    def send_sound(self, front, path):
        """Send a stream with the same key and first part."""
        parts = f'{COMMON_PART}:200,{secrets.token_hex(4)}:100'
        self.sound.append(
            self.request(front, path, parts, secrets.token_hex(8))
        )

    def request(self, front, path, parts, request_id):
        """Send a request and return its answer."""
        headers = {'Attempt_Id': request_id, 'Prompt_Prefix': parts}
        if path == STREAM_PATH:
            headers['Token_Count'] = f'350,{EVENTS * 7}'
        return send(
            self.rig.fronts[front],
            path,
            body=request_id.encode(),
            headers=request_headers(**headers),
        )


@pytest.fixture
def traffic(rig):
    return Traffic(rig)


@given(
    'a platform with 6 engines in two zones that crash on a prompt part',
    target_fixture='rig',
)
def _platform(fleet):
    return PlatformRig(fleet)


@pytest.fixture
def engines(rig):
    engines = CrashingEngines(rig, 'narrator', crash_on=CRASHING_PART)
    for number in range(6):
        engines.add(('north-1', 'north-2')[number % 2])
    engines.start()
    yield engines
    engines.stop()


@given(parsers.re('fronts (?P<places>f1, f2 in north-1 and .*)'))
def _fronts(rig, engines, places):
    for names, zone in re.findall(r'(f\d(?:, f\d)*) in ([\w-]+)', places):
        for name in names.split(', '):
            rig.add_front(name, zone=zone, shares=True)


@given('fronts f1, f2 in north-1 behind links to the store')
def _linked_fronts(rig, engines, fleet):
    for name in ('f1', 'f2'):
        link = fleet.start_link(f'link-{name}', rig.store)
        rig.add_front(
            name, link.address, zone='north-1', shares=True, revoke_ms=60000
        )


@when('the zone is cut off from the store')
def _cut(fleet):
    for name in ('f1', 'f2'):
        fleet.control(f'link-{name}', cut=True)
    time.sleep(STABLE_S / 2)  # until the fronts have noticed


@then(
    parsers.parse(
        'within {span:g} s the command line lists the part as quarantined'
    )
)
def _listed(rig, capsys, span):
    listing = ['quarantine', 'list', '--store', rig.store, '--json']
    ends_s = time.monotonic() + span
    parts = []
    while not parts and time.monotonic() < ends_s:
        assert main(listing) == 0
        parts = json.loads(capsys.readouterr().out)
    (part,) = parts
    assert part['name'] == CRASHING_PART
    assert part['kind'] == 'prompt part'
    assert part['quarantined']


@when('the engines are mended and the command line releases the part')
def _release(rig, engines):
    engines.mend()
    release = ['quarantine', 'release', CRASHING_PART, '--store', rig.store]
    assert main(release) == 0


@then(
    parsers.parse(
        'within {span:g} s a stream with the part is served at each front'
    )
)
def _served(rig, traffic, span):
    time.sleep(span)
    for front in rig.fronts:
        traffic.send_crashing(front, STREAM_PATH)
    statuses = [answer.status for answer in traffic.crashing.values()]
    assert statuses[-len(rig.fronts) :] == [200 for _ in rig.fronts]


@when('the zone reaches the store again')
def _heal(fleet):
    for name in ('f1', 'f2'):
        fleet.control(f'link-{name}', cut=False)


@when('a sound stream has been served at f1')
def _sound_served(traffic):
    traffic.send_sound('f1', STREAM_PATH)
    assert traffic.sound[-1].status == 200


@when('streams with the part come at f1 until it is quarantined there')
def _come_at_one(traffic):
    ends_s = time.monotonic() + 3 * STABLE_S
    while time.monotonic() < ends_s:
        if _is_refused(traffic, 'f1'):
            return
        time.sleep(POLL_S)
    pytest.fail('never refused')


@then(
    parsers.parse(
        'within {span:g} s a stream with the part at f2 is refused as not run'
    )
)
def _refused_there(traffic, span):
    time.sleep(span)
    assert _is_refused(traffic, 'f2')


@then(
    parsers.parse(
        'within {span:g} s a new front f3 in north-2 refuses a stream with the '
        'part'
    )
)
def _refused_elsewhere(rig, traffic, span):
    time.sleep(span)
    rig.add_front('f3', zone='north-2', shares=True)
    time.sleep(0.5)
    assert _is_refused(traffic, 'f3')


def _is_refused(traffic, front):
    """Send a stream with the part; return whether it was not run."""
    traffic.crashing.clear()
    traffic.send_crashing(front, STREAM_PATH)
    ((request_id, answer),) = traffic.crashing.items()
    reached = {run.request_id for run in traffic.runs()}
    if answer.status != 503 or b'quarantined' not in answer.body:
        return False
    assert request_id not in reached
    return True


@when('all fronts are killed and restarted')
def _restart(rig, fleet, engines, traffic):
    for name in rig.fronts:
        fleet.kill(name)
    for name in rig.fronts:
        fleet.restart_front(name)
    ends_s = time.monotonic() + 2 * STABLE_S
    for address in rig.health.values():
        while not _is_ready(address):
            assert time.monotonic() < ends_s
            time.sleep(POLL_S)
    traffic.sound.clear()
    traffic.crashes_before = len(engines.crashes)


def _is_ready(address):
    try:
        return call(address, 'GET', '/api/ready')[0] == 200
    except OSError:
        return False


@then('no engine has crashed since the restart')
def _none_since(engines, traffic):
    assert engines.crashes
    assert len(engines.crashes) == traffic.crashes_before


@when(
    parsers.parse(
        '{kind} with the part come at each front for {span:g} s, '
        'beside sound streams'
    )
)
def _come(traffic, kind, span):
    traffic.play(PATHS[kind], span)


@then(
    parsers.parse(
        'no more than {limit:d} of them reached engines later than 4 s after '
        'the fifth crash'
    )
)
def _soon_none(engines, traffic, limit):
    crashes = sorted(engines.crashes.values())
    assert crashes
    bound_s = crashes[:5][-1] + STABLE_S
    late = [
        run
        for run in traffic.runs()
        if run.request_id in traffic.crashing and run.began_s > bound_s
    ]
    assert len(late) <= limit, (len(late), len(crashes))


@then('sound streams began at once in more than half of the cases')
def _sound_begin(traffic):
    begun = [answer for answer in traffic.sound if answer.status == 200]
    assert len(begun) * 2 > len(traffic.sound)
