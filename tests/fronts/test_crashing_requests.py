"""Requests that crash engines and come again, with real processes."""

import itertools
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
    ACCOUNT,
    ASK_PATH,
    KEY,
    ORDER_PATH,
    STREAM_PATH,
    TIMEOUT_S,
    PlatformRig,
    request_headers,
    send,
)

scenarios('crashing_requests.feature')

PATHS = {'streams': STREAM_PATH, 'lookups': ASK_PATH, 'orders': ORDER_PATH}
OTHER_KEY = 'key-of-another'
OTHER_ACCOUNT = 'another'
CRASHING_BODY = b'{"merchant": 17}'
COMMON_PART = 'c0ffee01'
EVENTS = 20
STABLE_S = 4.0
LEAVES_AFTER_S = 0.03
SOUND_PERIOD_S = 0.1
POLL_S = 0.1


class Traffic:
    """A request that comes again, and sound ones, at each front in turn."""

    def __init__(self, rig):
        self.rig = rig
        self.path = ASK_PATH
        self.crashing = {}
        self.sound = []
        self.crashes_before = 0
        self.leaves_after_s = None
        self.restarted_s = 0
        self.serials = itertools.count()

    def runs(self):
        """Return the runs of all engines so far."""
        return read_runs(sorted(self.rig.fleet.folder.glob('engine-*.runs')))

    def play(self, span_s, period_s, fronts=None):
        """Send both for a span; return when all are answered."""
        ends_s = time.monotonic() + span_s
        players = [
            threading.Thread(target=self.repeat, args=arguments)
            for arguments in (
                (ends_s, period_s, self.send_crashing, fronts),
                (ends_s, SOUND_PERIOD_S, self.send_sound, fronts),
            )
        ]
        for player in players:
            player.start()
        for player in players:
            player.join()

    def repeat(self, ends_s, period_s, act, fronts):
        """Start requests in threads of their own, at each front in turn."""
        threads = []
        for front in itertools.cycle(fronts or list(self.rig.fronts)):
            if time.monotonic() >= ends_s:
                break
            thread = threading.Thread(target=act, args=(front,))
            thread.start()
            threads.append(thread)
            time.sleep(period_s)
        for thread in threads:
            thread.join()

    def send_crashing(self, front):
        """Send the request once more; return its answer."""
        request_id = secrets.token_hex(8)
        answer = self.request(
            front, KEY, CRASHING_BODY, request_id, self.leaves_after_s
        )
        self.crashing[request_id] = answer
        return answer

    def send_sound(self, front):
        """Send a request that shares all with the other but one thing."""
        number = next(self.serials)
        sent_s = time.monotonic()
        if number % 2:
            answer = self.request(front, OTHER_KEY, CRASHING_BODY)
        else:
            # Repetitions of sound requests as well as new ones.
            body = f'{{"merchant": {number % 7 or 1000 + number}}}'.encode()
            answer = self.request(front, KEY, body)
        self.sound.append((sent_s, answer.status))

    def request(self, front, key, body, request_id=None, leaves_after_s=None):
        """Send a request and return its answer, as far as it is awaited."""
        headers = {
            'Attempt_Id': request_id or secrets.token_hex(8),
            'Authorization': f'Bearer {key}',
        }
        if self.path == STREAM_PATH:
            headers['Token_Count'] = f'350,{EVENTS * 7}'
            own_part = f'{key[-4:]}{body.hex()[-20:]}'
            headers['Prompt_Prefix'] = f'{COMMON_PART}:200,{own_part}:150'
        address = self.rig.fronts[front]
        return send(
            address,
            self.path,
            body=body,
            headers=request_headers(**headers),
            timeout_s=leaves_after_s or TIMEOUT_S,
        )

    def is_refused(self, front):
        """Send the request; return whether it was not run."""
        before = len(self.runs())
        answer = self.send_crashing(front)
        refused = answer.status == 503 and b'quarantined' in answer.body
        if refused:
            assert len(self.runs()) == before
            assert float(answer.headers['retry-after']) > 0
        return refused


@pytest.fixture
def traffic(rig):
    return Traffic(rig)


@given(
    'a platform with 6 engines in two zones that crash on a request',
    target_fixture='rig',
)
def _platform(fleet):
    rig = PlatformRig(fleet)
    rig.configure(
        tenants=[
            {'name': ACCOUNT, 'apiKeys': [KEY]},
            {'name': OTHER_ACCOUNT, 'apiKeys': [OTHER_KEY]},
        ]
    )
    return rig


@pytest.fixture
def kinds(rig):
    """Return a function that starts engines for a kind of request."""
    started = []

    def start(kind):
        path = PATHS[kind]
        crash_request = f'{ACCOUNT} {path} {CRASHING_BODY.decode()}'
        engines = CrashingEngines(rig, 'narrator', crash_request=crash_request)
        for number in range(6):
            engines.add(('north-1', 'north-2')[number % 2])
        engines.start()
        started.append(engines)
        time.sleep(2 * POLL_S)  # until the fronts know the engines
        return engines

    yield start
    for engines in started:
        engines.stop()


@pytest.fixture
def engines(kinds, traffic):
    """Return a function that returns the engines, started at its first call."""
    running = []

    def get(kind=None):
        if not running:
            traffic.path = PATHS[kind]
            running.append(kinds(kind))
        return running[0]

    return get


@given(parsers.re(r'fronts (?P<places>f1, f2 in north-1 and .*)'))
def _fronts(rig, places):
    for names, zone in re.findall(r'(f\d(?:, f\d)*) in ([\w-]+)', places):
        for name in names.split(', '):
            rig.add_front(name, zone=zone, shares=True)


@given('fronts f1, f2 in north-1 behind links to the store')
def _linked_fronts(rig, fleet, engines):
    engines('orders')
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


@when('the zone reaches the store again')
def _heal(fleet):
    for name in ('f1', 'f2'):
        fleet.control(f'link-{name}', cut=False)


@when(
    parsers.parse(
        'the request comes as {kind} every {period:g} s for {span:g} s, '
        'beside sound {_}'
    )
)
def _come(traffic, engines, kind, period, span):
    engines(kind)
    traffic.play(span, period)


@when(
    parsers.parse(
        'the request comes as {kind} every 0.25 s for 14 s from callers that '
        'leave at once, beside sound {_}'
    )
)
def _come_and_leave(traffic, engines, kind):
    engines(kind)
    traffic.leaves_after_s = LEAVES_AFTER_S
    traffic.play(14, 0.25)


@when(
    parsers.parse(
        'the request comes alone as {kind} every {period:g} s for {span:g} s '
        'from callers that leave at once'
    )
)
def _come_alone_and_leave(traffic, engines, kind, period, span):
    engines(kind)
    traffic.leaves_after_s = LEAVES_AFTER_S
    ends_s = time.monotonic() + span
    traffic.repeat(ends_s, period, traffic.send_crashing, None)


@when(
    parsers.parse(
        'the request comes as {kind} at f1, f2, f3 every {period:g} s '
        'for {span:g} s'
    )
)
def _come_at_some(traffic, engines, kind, period, span):
    engines(kind)
    traffic.play(span, period, ['f1', 'f2', 'f3'])


@when('the request comes as orders at f1 until it is refused there')
def _come_at_one(traffic, engines):
    engines('orders')
    ends_s = time.monotonic() + 3 * STABLE_S
    while time.monotonic() < ends_s:
        if traffic.is_refused('f1'):
            return
        time.sleep(POLL_S)
    pytest.fail('never refused')


@when('f4 is frozen')
def _freeze(fleet):
    fleet.pause('f4')


@when(parsers.parse('f4 wakes for {span:g} s'))
def _wake(fleet, span):
    fleet.resume('f4')
    time.sleep(span)


@then('the request at f4 is refused as not run')
def _refused_after_freeze(traffic):
    assert traffic.is_refused('f4')


@then(
    parsers.parse('within {span:g} s the request at f2 is refused as not run')
)
def _refused_there(traffic, span):
    time.sleep(span)
    assert traffic.is_refused('f2')


@then(
    parsers.parse(
        'within {span:g} s the request at a new front f3 in north-2 is refused '
        'as not run'
    )
)
def _refused_elsewhere(rig, traffic, span):
    time.sleep(span)
    rig.add_front('f3', zone='north-2', shares=True)
    time.sleep(0.5)
    assert traffic.is_refused('f3')


@then('the command line lists one request as quarantined')
def _listed(rig, capsys):
    time.sleep(1)  # until the row is written
    (request,) = _listing(rig, capsys)
    assert request['kind'] == 'request'
    assert request['quarantined']


def _listing(rig, capsys):
    assert main(['quarantine', 'list', '--store', rig.store, '--json']) == 0
    return json.loads(capsys.readouterr().out)


@when('the engines are mended and the command line releases the request')
def _release(rig, engines, capsys):
    engines().mend()
    (request,) = _listing(rig, capsys)
    release = ['quarantine', 'release', request['name'], '--store', rig.store]
    assert main(release) == 0


@then(parsers.parse('within {span:g} s the request is served at each front'))
def _served(rig, traffic, span):
    time.sleep(span)
    statuses = [traffic.send_crashing(front).status for front in rig.fronts]
    assert statuses == [200 for _ in rig.fronts]


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
    traffic.restarted_s = time.monotonic()
    traffic.crashes_before = len(engines().crashes)


def _is_ready(address):
    try:
        return call(address, 'GET', '/api/ready')[0] == 200
    except OSError:
        return False


@then('no engine has crashed since the restart')
def _none_since(engines, traffic):
    assert engines().crashes
    assert len(engines().crashes) == traffic.crashes_before


@then(
    parsers.parse(
        'no more than {limit:d} of them reached engines later than 4 s after '
        'the third crash'
    )
)
def _soon_none(engines, traffic, limit):
    bound_s = _third_crash_s(engines) + STABLE_S
    late = [
        run
        for run in traffic.runs()
        if run.request_id in traffic.crashing and run.began_s > bound_s
    ]
    assert len(late) <= limit, (len(late), len(engines().crashes))


def _third_crash_s(engines):
    crashes = sorted(engines().crashes.values())
    assert len(crashes) >= 3
    return crashes[2]


@then('nine in ten of the sound ones sent later than that were served')
def _sound_served(engines, traffic):
    _assert_served(traffic, _third_crash_s(engines) + STABLE_S)


@then('nine in ten of the sound ones sent since the restart were served')
def _sound_served_again(traffic):
    _assert_served(traffic, traffic.restarted_s)


def _assert_served(traffic, since_s):
    statuses = [status for sent_s, status in traffic.sound if sent_s > since_s]
    assert len(statuses) >= 10
    assert statuses.count(200) >= 0.9 * len(statuses)
