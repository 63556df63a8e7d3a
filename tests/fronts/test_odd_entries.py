"""Odd entries and headers, with a real front."""

import json
import secrets
import socket
import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.fronts import (
    CALL_PATH,
    HOST,
    KEY,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)
from standins.serving import split_address

scenarios('odd_entries.feature')

OK = 200
CALLERS = 4
PAUSE_S = 0.02
READ_BYTES = 65536
FOUND_WITHIN_S = 3
INVALID_ENTRY = '"message": "invalid backend server entry"'
SOUND = {
    'address': '127.0.0.1:9',
    'zone': 'north-1',
    'state': 'ready',
    'slots': 12,
    'seq': 1,
    'coldLeftMs': 0,
    'born': 1,
    'version': '1',
}
HUGE = '9' * 400
NESTED = ''.join(('[' * 5000, ']' * 5000))
ODDITIES = {
    'an address with a NUL byte': {'address': '127.0.0.1\x00:9'},
    'an address outside ASCII': {'address': '127.0.0.é:9'},
    'an address with a space': {'address': '127.0.0.1 :9'},
    'an address with a line break': {'address': '127.0.0.1\r\nX: y:9'},
    'an address with a user': {'address': 'user@127.0.0.1:9'},
    'a port out of range': {'address': '127.0.0.1:99999'},
    'a negative port': {'address': '127.0.0.1:-1'},
    'a port in other digits': {'address': '127.0.0.1:٩٩'},
    'a name for a host': {'address': 'engine.example:9'},
    'negative slots': {'slots': -12},
    'a version of 100000 characters': {'version': 'v' * 100_000},
    'a zone of 100000 characters': {'zone': 'z' * 100_000},
}
REPLACED = {
    '5000 nested lists': ('"1"', NESTED),
    'a number of 400 digits': ('"seq": 1', f'"seq": {HUGE}'),
    'a time of NaN': ('"coldLeftMs": 0', '"coldLeftMs": NaN'),
    'a time without end': ('"coldLeftMs": 0', '"coldLeftMs": Infinity'),
}
KEYS = {
    'a key outside ASCII': 'engine-é',
    'a key with a line break': 'engine\r\nX: y',
    'a key with half of a surrogate pair': 'engine\ud800',
}


class Scene:
    """Callers and the answers that they got."""

    def __init__(self, rig):
        self.rig = rig
        self.answers = []
        self.answer = b''

    def send(self, span_s):
        """Send requests of all kinds for a while."""
        self.answers.clear()
        ends_s = time.monotonic() + span_s
        threads = [
            threading.Thread(target=self._send, args=(path, ends_s))
            for path in (LOOKUP_PATH, CALL_PATH, STREAM_PATH)
            for _ in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, path, ends_s):
        # A thread that starts late sends once, too.
        is_over = False
        while not is_over:
            tokens = '60,21' if path == STREAM_PATH else None
            headers = request_headers(
                Attempt_Id=secrets.token_hex(8), Token_Count=tokens
            )
            address = self.rig.fronts['f1']
            self.answers.append(send(address, path, headers=headers))
            time.sleep(PAUSE_S)
            is_over = time.monotonic() >= ends_s

    def send_raw(self, *lines):
        """Send a lookup with more header lines."""
        head = [
            f'GET {LOOKUP_PATH} HTTP/1.1'.encode(),
            f'Host: {HOST}'.encode(),
            f'Authorization: Bearer {KEY}'.encode(),
            b'Attempt-Id: raw',
            b'Connection: close',
            *lines,
        ]
        address = split_address(self.rig.fronts['f1'])
        with socket.create_connection(address) as connection:
            connection.sendall(b'\r\n'.join([*head, b'', b'']))
            self.answer = b''
            while chunk := connection.recv(READ_BYTES):
                self.answer += chunk


@pytest.fixture
def scene(rig):
    return Scene(rig)


@given('desks d1, d2 and engines e1, e2', target_fixture='rig')
def _platform(fleet):
    rig = PlatformRig(fleet)
    for number in (1, 2):
        rig.add_server(f'd{number}', 'desk')
        rig.add_server(f'e{number}', 'narrator')
    return rig


@given(parsers.parse('an entry of each service with {oddity}'))
def _odd_entry(rig, oddity):
    for service in ('desk', 'narrator'):
        entry = {**SOUND, 'service': service, **ODDITIES.get(oddity, {})}
        text = json.dumps(entry).replace(*REPLACED.get(oddity, ('', '')))
        key = KEYS.get(oddity, 'odd')
        rig.put('servers', f'{key}-{service}', text)


@given('a front')
def _front(rig):
    rig.add_front('f1')


@when(
    parsers.parse('callers send lookups, purchases and streams for {span:g} s')
)
def _send(scene, span):
    scene.send(span)


@then('all requests were served')
def _served(scene):
    assert scene.answers
    failed = [answer for answer in scene.answers if answer.status != OK]
    assert not failed, (len(failed), len(scene.answers), failed[0])


@then('the front has logged each odd entry once')
def _logged(fleet):
    assert fleet.log('f1').count(INVALID_ENTRY) == 2


@when('desk d3 and engine e3 are added')
def _add(rig):
    rig.add_server('d3', 'desk')
    rig.add_server('e3', 'narrator')


@then('they get requests within 3 s')
def _found(rig, scene):
    ends_s = time.monotonic() + FOUND_WITHIN_S
    while not (rig.runs('d3') and rig.runs('e3')):
        assert time.monotonic() < ends_s
        scene.send(PAUSE_S)


@when(parsers.parse('a caller sends a header with the bytes "{digits}"'))
def _send_bytes(scene, digits):
    scene.send_raw(b'X-Name: %s' % bytes.fromhex(digits))


@then('it is served and the server got these bytes')
def _got_bytes(rig, scene):
    assert scene.answer.startswith(b'HTTP/1.1 200'), scene.answer
    names = [run['headers'].get('x-name') for run in rig.all_runs()]
    assert bytes.fromhex('C3A920FF').decode('latin-1') in names


@when('a caller announces a prompt of 400 digits')
def _send_digits(scene):
    scene.send_raw(f'Token-Count: {HUGE},1'.encode())


@then('it is refused as malformed')
def _refused(scene):
    assert scene.answer.startswith(b'HTTP/1.1 400'), scene.answer


@when(parsers.parse('d1 states the load "{load}"'))
def _load(fleet, load):
    fleet.control('d1', load=load.replace('huge', HUGE))


@then('d2 got requests')
def _shared(rig):
    assert rig.runs('d2')
