"""Requests that fronts pass on to each other, with real processes."""

import itertools
import random
import re
import secrets
import signal
import socket
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.fronts import (
    ACCOUNT,
    CALL_PATH,
    KEY,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)
from standins.serving import split_address
from tests.fronts.test_hosts_cut_off import ZONES

scenarios('passing_on.feature')

TOKENS_PER_EVENT = 7
SETTLES_S = 0.5
BATCH_PAUSE_S = 0.05
OK = 200
REFUSED = 503
BODY = b'\x00{"a": 1}\r\n\r\n'
DEADLINE_MS = 5000
PASSED_ON = '"message": "passed on"'


class Sent:
    """A request that a caller sent, with its answer."""

    def __init__(self, path, wanted=0, body=b'{}', method='POST', **headers):
        self.path = path
        self.wanted = wanted
        self.body = body
        self.method = method
        self.request_id = secrets.token_hex(8)
        if wanted:
            headers['Token_Count'] = f'60,{wanted * TOKENS_PER_EVENT}'
            headers['Deadline_Ms'] = '20000'
        self.headers = request_headers(Attempt_Id=self.request_id, **headers)
        self.answer = None

    def send(self, address):
        """Send it and wait for the answer."""
        self.answer = send(
            address, self.path, self.method, self.body, self.headers
        )

    @property
    def is_served(self):
        """Return whether the answer is whole and a success."""
        if self.wanted:
            return self.answer.events == list(range(1, self.wanted + 1))
        return self.answer.status == OK and self.answer.whole


class Scene:
    """What a scenario has sent.

    Attributes:
        sent: the requests since the last step that sent any.
        all_sent: all requests.
        threads: callers that wait for answers.
    """

    def __init__(self, rig):
        self.rig = rig
        self.sent = []
        self.all_sent = []
        self.threads = []
        self.logged = 0

    def start(self, requests, fronts):
        """Send requests at the same time, to fronts in turn."""
        self.join()
        self.sent = list(requests)
        self.all_sent += self.sent
        addresses = itertools.cycle(self.rig.fronts[name] for name in fronts)
        for request, address in zip(self.sent, addresses, strict=False):
            thread = threading.Thread(target=request.send, args=(address,))
            thread.start()
            self.threads.append(thread)

    def join(self):
        """Wait for all answers."""
        while self.threads:
            self.threads.pop().join()

    def runs(self, request):
        """Return the runs of a request at all servers."""
        return [
            run
            for run in self.rig.all_runs()
            if run['request_id'] == request.request_id
        ]


@pytest.fixture
def scene(rig):
    scene = Scene(rig)
    yield scene
    scene.join()


@given(
    'a platform with 3 engines and 3 desks in two zones', target_fixture='rig'
)
def _platform(fleet):
    rig = PlatformRig(fleet)
    for number, zone in enumerate(ZONES):
        rig.add_server(f'engine-{number}', 'narrator', zone)
        rig.add_server(f'desk-{number}', 'desk', zone)
    return rig


@given(parsers.re('fronts (?P<places>f1, .*)'))
def _fronts(rig, fleet, places):
    link = fleet.start_link('store-link', to=rig.store).address
    for names, zone in re.findall(r'(f\d(?:, f\d)*) in ([\w-]+)', places):
        for name in names.split(', '):
            rig.add_front(
                name,
                link,
                zone=zone,
                shares=True,
                module='standins.cut_fronts',
            )
    time.sleep(SETTLES_S)


@when(
    parsers.re(
        r'(?P<fronts>f\d(?:, f\d)*) loses? all servers, whose connections '
        '(?P<how>are refused|hang)'
    )
)
def _cut(rig, fleet, scene, fronts, how):
    how = 'hang' if how == 'hang' else 'refuse'
    for name in fronts.split(', '):
        fleet.cut(name, how, list(rig.servers.values()))
    # Some requests show the front that it is cut off.
    shown = [
        Sent(path, wanted)
        for path, wanted in ((LOOKUP_PATH, 0), (STREAM_PATH, 3))
        for _ in range(3 * len(fronts.split(', ')))
    ]
    scene.start(shown, fronts.split(', '))
    scene.join()


@when('f1 has its paths back for 2 s')
def _restore(rig, fleet, scene):
    scene.join()
    fleet.cut('f1', '', [])
    time.sleep(2)
    scene.logged = _passed_on(fleet)


@when('desk-0 says in its answers that it leaves')
def _leaves(fleet):
    fleet.control('desk-0', leaving=True)


@when('desk-0 has answered f1 through another front')
def _has_answered(rig, scene):
    scene.join()
    answered = {run['request_id'] for run in rig.runs('desk-0')}
    assert answered & {request.request_id for request in scene.sent}


@then('desk-0 got none of them')
def _got_none(rig, scene):
    ran = {run['request_id'] for run in rig.runs('desk-0')}
    assert not ran & {request.request_id for request in scene.sent}


@when('the store is away')
def _store_away(fleet):
    fleet.control('store-link', cut=True)


@when(parsers.parse('a caller sends {count:d} lookups to f1'))
def _lookups(scene, count):
    scene.start([Sent(LOOKUP_PATH) for _ in range(count)], ['f1'])


@when(
    parsers.parse(
        'a caller sends {count:d} lookups with a query, a header and a body '
        'to f1'
    )
)
def _full_lookups(scene, count):
    lookups = [
        Sent(f'{LOOKUP_PATH}?x=%2F{number}', body=BODY, X_Other='some, thing')
        for number in range(count)
    ]
    scene.start(lookups, ['f1'])


@when(parsers.parse('a caller sends {count:d} lookups without a body to f1'))
def _bare_lookups(scene, count):
    lookups = [Sent(LOOKUP_PATH, body=None, method='GET') for _ in range(count)]
    scene.start(lookups, ['f1'])


@when('a caller sends a lookup with the header of a passed-on request to f2')
def _posing(scene):
    header = f'{"0" * 64} {{"request_id": "a", "attempts": 9}}'
    scene.start([Sent(LOOKUP_PATH, Celerywharf_Relay=header)], ['f2'])


@when('a caller sends a lookup to the address of f2 for other fronts')
def _to_relay_address(rig, fleet, scene):
    settings = (fleet.folder / 'f2.ini').read_text()
    address = re.search('^relay = (.*)$', settings, re.MULTILINE).group(1)
    header = f'{"0" * 64} {{"request_id": "a", "attempts": 9}}'
    request = Sent(LOOKUP_PATH, Celerywharf_Relay=header)
    request.send(address)
    scene.sent = [request]


@when(parsers.parse('a caller sends {count:d} purchases to each front'))
def _purchases(rig, scene, count):
    purchases = [Sent(CALL_PATH) for _ in range(count * len(rig.fronts))]
    scene.start(purchases, list(rig.fronts))


@when(
    parsers.re(
        r'callers send (?P<count>\d+) streams of (?P<wanted>\d+) events to '
        '(?P<fronts>.*)'
    )
)
def _streams(scene, count, wanted, fronts):
    streams = [Sent(STREAM_PATH, int(wanted)) for _ in range(int(count))]
    scene.start(streams, fronts.split(', '))


@when(
    parsers.parse(
        'its links to the other fronts {how} again and again for {span:d} s'
    )
)
def _break_links(rig, fleet, scene, how, span):
    servers = list(rig.servers.values())
    peers = [_relay_address(fleet, name) for name in ('f2', 'f3', 'f4')]
    ends_s = time.monotonic() + span
    moments = random.Random(7)

    def shake():
        while time.monotonic() < ends_s:
            fleet.cut('f1', how, servers + peers)
            time.sleep(moments.uniform(0, 0.3))
            # Lost paths to servers must stay lost between the cuts of links.
            fleet.cut('f1', 'refuse', servers)
            time.sleep(moments.uniform(0.1, 0.7))

    scene.shaking = threading.Thread(target=shake)
    scene.shaking.start()


def _relay_address(fleet, name):
    settings = (fleet.folder / f'{name}.ini').read_text()
    return re.search('^relay = (.*)$', settings, re.MULTILINE).group(1)


@when('callers send purchases, lookups and streams to f1 meanwhile')
def _send_meanwhile(scene):
    sent = []
    while scene.shaking.is_alive():
        batch = [
            Sent(path, wanted)
            for path, wanted in (
                (CALL_PATH, 0),
                (LOOKUP_PATH, 0),
                (STREAM_PATH, 20),
            )
            for _ in range(2)
        ]
        scene.start(batch, ['f1'])
        sent += batch
        scene.join()
        time.sleep(BATCH_PAUSE_S)
    scene.sent = sent


@when(
    parsers.re(
        r'a caller sends (?P<what>a stream of 400 events|a purchase) to f1 and '
        'leaves after 1 s'
    )
)
def _leave(rig, scene, what):
    request = Sent(CALL_PATH)
    if 'stream' in what:
        request = Sent(STREAM_PATH, 400)
    host, port = split_address(rig.fronts['f1'])
    with socket.create_connection((host, port)) as connection:
        lines = [f'{name}: {text}' for name, text in request.headers.items()]
        head = '\r\n'.join([f'POST {request.path} HTTP/1.1', *lines])
        connection.sendall(f'{head}\r\nContent-Length: 2\r\n\r\n{{}}'.encode())
        time.sleep(1)
        (run,) = scene.runs(request)
        assert run['state'] == 'running'
    scene.sent = [request]


@when('desks take 3 s for a call')
def _slow_desks(rig, fleet):
    for name in rig.servers:
        if name.startswith('desk'):
            fleet.control(name, work_ms=3000)


@when(
    parsers.re(
        'f2 (?P<how>is killed|is suspended|is stopped by a signal) 1 s later'
    )
)
def _lose(fleet, how):
    time.sleep(1)
    if how == 'is killed':
        fleet.kill('f2')
    elif how == 'is suspended':
        fleet.pause('f2')
    else:
        fleet.members['f2'].process.send_signal(signal.SIGTERM)


@then(parsers.re(r'(?P<count>\d+) of them (is|are) served'))
def _served(scene, count):
    scene.join()
    served = [request for request in scene.sent if request.is_served]
    assert len(served) == int(count), [each.answer for each in scene.sent]


@then('each ran once, as it was sent')
def _unchanged(scene):
    for request in scene.sent:
        (run,) = scene.runs(request)
        assert run['target'] == request.path
        assert run['method'] == 'POST'
        assert run['body'] == BODY.decode('latin-1')
        assert run['account'] == ACCOUNT
        headers = run['headers']
        assert headers['x-other'] == 'some, thing'
        assert headers['host'] == request.headers['Host']
        left_ms = int(headers['deadline-ms'])
        assert DEADLINE_MS - 1000 < left_ms <= DEADLINE_MS
        assert KEY not in str(headers)
        assert 'celerywharf' not in str(headers).lower()


@then('each ran once, without a body')
def _no_body(scene):
    for request in scene.sent:
        (run,) = scene.runs(request)
        assert run['method'] == 'GET'
        assert not run['body']
        assert 'content-length' not in run['headers']
        assert 'transfer-encoding' not in run['headers']


@then('it ran once')
def _ran_once(scene):
    (run,) = scene.runs(scene.sent[0])
    assert run['account'] == ACCOUNT


@then('it is closed without an answer')
def _closed(scene):
    assert scene.sent[0].answer.status is None


@then('it did not run')
def _not_run(scene):
    assert not scene.runs(scene.sent[0])


@then('all are refused within 1 s and none ran')
def _all_refused(scene):
    scene.join()
    for request in scene.sent:
        assert request.answer.status == REFUSED
        assert float(request.answer.headers['retry-after']) > 0
        assert request.answer.took_s < 1
        assert not scene.runs(request)


@then('no purchase ran twice, and none that was refused ran')
def _at_most_once(scene):
    scene.join()
    purchases = [each for each in scene.sent if each.path == CALL_PATH]
    assert purchases
    for request in purchases:
        allowed = 0 if request.answer.status == REFUSED else 1
        assert len(scene.runs(request)) <= allowed


@then('all streams have their events in order, each once')
def _in_order(scene):
    streams = [each for each in scene.sent if each.wanted]
    assert streams
    for request in streams:
        events = request.answer.events
        assert events == list(range(1, len(events) + 1))
        if request.answer.whole and request.answer.status == OK:
            assert len(events) == request.wanted


@then('requests are served at times')
def _some_served(scene):
    served = sum(request.is_served for request in scene.sent)
    assert served > len(scene.sent) / 4, (served, len(scene.sent))


@then(parsers.re('no (?P<kind>engine|desk) works on it 0.5 s later'))
def _ended(scene, kind):
    time.sleep(0.5)
    (run,) = scene.runs(scene.sent[0])
    assert run['state'] != 'running'


@then('all streams are complete')
def _complete(scene):
    scene.join()
    for request in scene.sent:
        assert request.is_served, request.answer


@then(parsers.parse('all streams are complete within {span:g} s'))
def _complete_in_time(scene, span):
    _complete(scene)
    assert max(each.answer.took_s for each in scene.sent) < span


@then('f1 has passed none of these on')
def _direct(fleet, scene):
    assert scene.logged > 0
    assert _passed_on(fleet) == scene.logged


def _passed_on(fleet):
    return fleet.log('f1').count(PASSED_ON)
