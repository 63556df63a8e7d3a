"""What servers say of themselves, and how they fall silent for a moment."""

import secrets
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

scenarios('server_statements.feature', 'silent_servers.feature')

ZONES = ('north-1', 'north-2', 'north-2')
PATHS = {
    'lookups': LOOKUP_PATH,
    'purchases': CALL_PATH,
    'streams': STREAM_PATH,
}
CALLERS = 3  # of each front
FAULTS = {
    'with 500': {'status': 500},
    'with 503': {'full': True, 'unstated': True},
    'without signature': {'unsigned': True},
    'with the id of another request': {'other_id': True},
    'with an encoded body': {'encoded': True},
    'with less than they announce': {'shorten': True},
}
SETTLES_S = 0.5
OK = 200
REFUSED = 503
PROMISES = {408, 421, 429, 503}  # each states that the request has not run
OTHER_ID = 'ffffffffffffffff'
REFUSAL_S = 0.1
LENIENCE_S = 0.5
REFUSED_WITHIN_S = 0.3
SILENT_AFTER_S = 1.0
SILENT_S = 1.0
RETURNS_WITHIN_S = 2.0


class Scene:
    """Callers and what they sent."""

    def __init__(self, rig):
        self.rig = rig
        self.answers = []
        self.started_s = 0
        self.went_on_s = {}

    def send(self, path, span_s, fronts=None, callers=CALLERS):
        """Send requests to fronts, by default all, for a while."""
        self.started_s = time.monotonic()
        threads = [
            threading.Thread(
                target=self._send,
                args=(self.rig.fronts[name], path, span_s),
            )
            for name in fronts or self.rig.fronts
            for _ in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, address, path, span_s):
        while time.monotonic() < self.started_s + span_s:
            tokens = '60,21' if path == STREAM_PATH else None
            headers = request_headers(
                Attempt_Id=secrets.token_hex(8), Token_Count=tokens
            )
            sent_s = time.monotonic()
            answer = send(
                address, path, body=secrets.token_bytes(9), headers=headers
            )
            self.answers.append((sent_s, answer))
            time.sleep(0.02)

    def silence(self, names):
        """Pause servers together for a while."""
        for name in names:
            self.rig.fleet.pause(name)
        time.sleep(SILENT_S)
        for name in names:
            self.rig.fleet.resume(name)
            self.went_on_s[name] = time.monotonic()

    def arrivals(self, name, after_s):
        """Return when requests and probes reached a server."""
        record = self.rig.fleet.record(name)
        arrived = [run['began_s'] for run in record['runs']]
        arrived += record['refused_s'] + record['probed_s']
        return sorted(at_s for at_s in arrived if at_s > after_s)


@pytest.fixture
def scene(rig):
    return Scene(rig)


@given(
    'desks d1, d2, d3 and engines e1, e2, e3 in two zones',
    target_fixture='rig',
)
def _platform(fleet):
    rig = PlatformRig(fleet)
    for number, zone in enumerate(ZONES, start=1):
        rig.add_server(f'd{number}', 'desk', zone)
        rig.add_server(f'e{number}', 'narrator', zone)
    return rig


@given('fronts f1, f2, f3 of these zones')
def _fronts(rig):
    for number, zone in enumerate(ZONES, start=1):
        rig.add_front(f'f{number}', zone=zone, shares=True)
    time.sleep(SETTLES_S)


@when(parsers.parse('{server} says in its answers that it leaves'))
def _leaves(fleet, server):
    fleet.control(server, leaving=True)


@when(
    parsers.re(
        r'(?P<servers>[de]\d(, [de]\d)*) refuses? requests and wants? nothing '
        r'for (?P<wait>[\d.]+) s'
    )
)
def _refuses(fleet, servers, wait):
    for name in servers.split(', '):
        fleet.control(name, full=True, retry_after=wait)


@when(
    parsers.re(
        r'(?P<servers>d1(, d2, d3)?) (is|are) full and falls? over if (it|they)'
        r' refuses? more than (?P<most>\d+) requests a second'
    )
)
def _brittle(fleet, servers, most):
    for name in servers.split(', '):
        fleet.control(name, full=True, brittle=int(most))


@when(parsers.re(r'(?P<servers>[de]1, [de]2, [de]3) answer (?P<answers>.*)'))
def _answer_badly(fleet, servers, answers):
    for name in servers.split(', '):
        fleet.control(name, **FAULTS[answers])


@when('d1, d2, d3 refuse with the id of another request')
def _refuse_another(fleet):
    for name in ('d1', 'd2', 'd3'):
        fleet.control(name, full=True, stale_refusal=OTHER_ID)


@when(
    parsers.parse(
        '{servers} take 0.1 s for a refusal and want nothing for 6, then for '
        '1 s'
    )
)
def _shorter_waits(fleet, servers):
    for name in servers.split(', '):
        fleet.control(name, full=True, refusal_ms=100, retry_after='6,1')


@when(
    parsers.parse(
        '{callers:d} callers of the nearest front send {requests} for '
        '{span:g} s'
    )
)
def _send_to_one(scene, requests, span, callers):
    scene.send(PATHS[requests], span, ['f1'], callers)


@then(
    parsers.parse(
        'from 1 s after its first answer {server} got no request and no probe'
    )
)
def _left_alone_once_told(scene, server):
    arrivals = scene.arrivals(server, scene.started_s)
    late = [at_s for at_s in arrivals if at_s > arrivals[0] + 1]
    assert not late, (len(late), len(arrivals))


@then(parsers.parse('from 0.6 s on {server} got at most 2 requests or probes'))
def _left_alone_by_one(scene, server):
    late = scene.arrivals(server, scene.started_s + REFUSAL_S + LENIENCE_S)
    assert scene.rig.fleet.record(server)['refused_s']
    assert len(late) <= 2, len(late)


@then('no caller is told that its request has not run')
def _not_told(scene):
    promises = [
        answer for _, answer in scene.answers if answer.status in PROMISES
    ]
    assert scene.answers
    assert not promises, (len(promises), len(scene.answers))


@when(parsers.parse('callers send {requests} for {span:g} s'))
def _send(scene, requests, span):
    scene.send(PATHS[requests], span)


@when(
    parsers.parse(
        'callers send {requests} for {span:g} s, while {servers} fall silent '
        'for 1 s {order}'
    )
)
def _fall_silent(scene, requests, span, servers, order):
    names = servers.split(', ')
    path = PATHS[requests]
    sending = threading.Thread(target=scene.send, args=(path, span))
    sending.start()
    for group in [[name] for name in names] if order == 'in turn' else [names]:
        time.sleep(SILENT_AFTER_S)
        scene.silence(group)
    sending.join()


@then('no purchase ran twice')
def _ran_once(rig):
    runs = rig.all_runs()
    purchases = [
        run['request_id'] for run in runs if run['target'] == CALL_PATH
    ]
    assert len(purchases) == len(set(purchases))


@then(
    parsers.parse(
        'each of {servers} got requests again within 2 s after it went on'
    )
)
def _got_requests_again(rig, scene, servers):
    for name in servers.split(', '):
        went_on_s = scene.went_on_s[name]
        began = [run['began_s'] for run in rig.runs(name)]
        again = [
            at_s
            for at_s in began
            if SETTLES_S / 5 < at_s - went_on_s < RETURNS_WITHIN_S
        ]
        assert again, name


@then(parsers.parse('from 1 s on {server} got no request and no probe'))
def _left_alone(scene, server):
    assert not scene.arrivals(server, scene.started_s + 1)


@then(
    parsers.parse(
        '{server} got at most 2 requests or probes of each front from 0.5 s '
        'after a refusal'
    )
)
def _waited(rig, scene, server):
    refused = rig.fleet.record(server)['refused_s']
    assert refused
    # Each front learns the wait by a refusal of its own.
    late = scene.arrivals(server, scene.started_s + LENIENCE_S)
    assert len(late) <= 2 * len(rig.fronts), len(late)


@then('all requests were served')
def _all_served(scene):
    assert scene.answers
    failed = [answer for _, answer in scene.answers if answer.status != OK]
    assert not failed, (len(failed), len(scene.answers), failed[0])


@then(
    'requests sent from 1 s on were refused within 0.3 s, with a wait of 2 to '
    '10 s'
)
def _refused_at_once(scene):
    late = [
        answer
        for sent_s, answer in scene.answers
        if sent_s > scene.started_s + 1
    ]
    assert late
    for answer in late:
        assert answer.status == REFUSED
        assert answer.took_s < REFUSED_WITHIN_S
        assert 2 <= float(answer.headers['retry-after']) <= 10


@then(
    parsers.parse('from 2 s on d1 refused at most {most:d} requests in any 1 s')
)
def _few_refused(rig, scene, most):
    refused = [
        at_s
        for at_s in rig.fleet.record('d1')['refused_s']
        if at_s > scene.started_s + 2
    ]
    for first, at_s in enumerate(refused):
        within = [each for each in refused[first:] if each < at_s + 1]
        assert len(within) <= most, len(within)
