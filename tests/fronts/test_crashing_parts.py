"""Prompt parts that crash engines, with real processes."""

import re
import secrets
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from soak.records import read_runs
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


class Traffic:
    """Requests with the part and sound ones, at each front in turn."""

    def __init__(self, rig):
        self.rig = rig
        self.threads = []
        self.crashing = {}
        self.sound = []

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
            self.rig.fronts[front], path, headers=request_headers(**headers)
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
    engines = CrashingEngines(rig, 'narrator', CRASHING_PART)
    for number in range(6):
        engines.add(('north-1', 'north-2')[number % 2])
    engines.start()
    yield engines
    engines.stop()


@given(parsers.re('fronts (?P<places>.*)'))
def _fronts(rig, engines, places):
    for names, zone in re.findall(r'(f\d(?:, f\d)*) in ([\w-]+)', places):
        for name in names.split(', '):
            rig.add_front(name, zone=zone, shares=True)


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
def _soon_none(rig, engines, traffic, limit):
    crashes = sorted(engines.crashes.values())
    assert crashes
    bound_s = crashes[:5][-1] + STABLE_S
    runs = read_runs(sorted(rig.fleet.folder.glob('engine-*.runs')))
    late = [
        run
        for run in runs
        if run.request_id in traffic.crashing and run.began_s > bound_s
    ]
    assert len(late) <= limit, (len(late), len(crashes))


@then('sound streams began at once in more than half of the cases')
def _sound_begin(traffic):
    begun = [answer for answer in traffic.sound if answer.status == 200]
    assert len(begun) * 2 > len(traffic.sound)
