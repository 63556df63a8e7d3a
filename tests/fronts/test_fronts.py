"""Fronts with stand-in processes for store, engines and callers."""

import re
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

scenarios('fronts.feature')

FAULTS = {
    'work correctly': {},
    'cut the connection': {'cut': True},
    'answer another request': {'other_id': True},
    'send unsigned answers': {'unsigned': True},
    'encode their answers': {'encoded': True},
    'truncate their answers': {'shorten': True},
    'answer twice': {'twice': True},
    'fail': {'status': 500},
    'answer without length or chunks': {'unframed': True},
    'are at capacity': {'full': True},
}
CHANGE_TIMEOUT_S = 4.0
POLL_S = 0.1
BYTES_PER_READ = 4096
RESERVED_HEADERS = {
    'Hold': 'h1',
    'Pin_Ms': '900',
    'Kv_Backup': '127.0.0.1:1',
    'Kv_From': '127.0.0.1:1/x',
    'Kv_Fetch': '127.0.0.1:1',
    'Tenant': 'somebody',
    'Request_Urgency': '0',
    'Expect_Version': '9',
}


class Calls:
    """The calls of a scenario and their answers."""

    def __init__(self):
        self.answers = []
        self.thread = None

    @property
    def last(self):
        """Return the latest answer."""
        return self.answers[-1]

    def stream(self, address, events, **headers):
        """Request a stream and wait for its end."""
        tokens = {'Token_Count': f'100,{events * 7}', **headers}
        self.answers.append(
            send(address, STREAM_PATH, headers=request_headers(**tokens)),
        )

    def start_stream(self, address, events):
        """Request a stream in a thread."""
        self.thread = threading.Thread(
            target=self.stream,
            args=(address, events),
        )
        self.thread.start()

    def buy(self, address, **headers):
        """Send a purchase; return the answer."""
        answer = send(address, CALL_PATH, headers=request_headers(**headers))
        self.answers.append(answer)
        return answer


@pytest.fixture
def calls():
    return Calls()


@given('a platform', target_fixture='rig')
def _platform(fleet):
    return PlatformRig(fleet)


@given(parsers.re(r'engines (?P<engines>.*), and a front'))
def _engines(rig, engines):
    for name, zone in re.findall(r'(e\d) in ([\w-]+)', engines):
        rig.add_server(name, 'narrator', zone)
    rig.add_front('front')


@given('desks d1, d2 and a front')
def _desks(rig):
    rig.add_server('d1', 'desk')
    rig.add_server('d2', 'desk')
    rig.add_front('front')


@given('desks d1, d2 and a front behind a link to the store')
def _linked(rig, fleet):
    rig.add_server('d1', 'desk')
    rig.add_server('d2', 'desk')
    link = fleet.start_link('link', rig.store)
    rig.add_front('front', store=link.address)


@given('a front whose store is unreachable')
def _no_store(rig, fleet):
    link = fleet.start_link('link', rig.store)
    fleet.control('link', cut=True)
    with pytest.raises(TimeoutError):
        rig.add_front('front', store=link.address)
    settings = (fleet.folder / 'front.ini').read_text()
    rig.fronts['front'] = re.search(r'listen = (\S+)', settings)[1]


@given(parsers.parse('{name} breaks its streams after {count:d} events'))
def _breaks(fleet, name, count):
    fleet.control(name, break_after=count)


@given(
    parsers.parse('{name} falls silent in its streams after {count:d} events')
)
def _falls_silent(rig, fleet, name, count):
    def silence():
        while True:
            runs = rig.runs(name)
            if runs and runs[0]['events'] >= count:
                fleet.control(name, silent=True)
                return
            time.sleep(0.01)

    threading.Thread(target=silence, daemon=True).start()


@given(parsers.parse('{name} answers without length or chunks'))
def _unframed(fleet, name):
    fleet.control(name, unframed=True)


@then(parsers.parse('{name} has run {count:d} of them'))
def _has_run(rig, name, count):
    assert len(rig.runs(name)) == count


@given(parsers.parse('{name} needs {prefill:d} ms for a prompt'))
def _slow_prompt(fleet, name, prefill):
    fleet.control(name, prefill_ms=prefill)


@when(parsers.parse('both desks {fault}'))
@given(parsers.parse('both desks {fault}'))
def _faulty(fleet, fault):
    for name in ('d1', 'd2'):
        fleet.control(name, **FAULTS[fault])


@given('each of the desks is dead')
def _dead(rig, fleet):
    for name in ('d1', 'd2'):
        fleet.kill(name)
        del rig.servers[name]


@when('a caller looks up once')
def _looks_up_once(rig, calls):
    _looks_up(rig, calls, 1)


@then(
    parsers.parse(
        'the caller gets 503 and a retry time within {span:g} s',
    ),
)
def _fails_soon(calls, span):
    assert calls.last.status == 503
    assert calls.last.took_s < span
    assert float(calls.last.headers['retry-after']) > 0


@then('each desk was tried once')
def _tried_once(fleet):
    output = (fleet.folder / 'front.out').read_text()
    for name in ('d1', 'd2'):
        assert output.count(f'"backend_server": "{name}", "send"') == 1


@given('desk d1 cuts its connections')
def _one_cuts(fleet):
    fleet.control('d1', cut=True)


@given('the entry of a dead desk d0 has the address of d1')
def _entry_with_other_address(rig):
    rig.servers['d0'] = rig.servers['d1']
    entry = {
        'service': 'desk',
        'address': rig.servers['d1'],
        'zone': 'north-1',
        'state': 'ready',
        'slots': 12,
        'seq': 1,
        'coldLeftMs': 0,
        'born': 1,
    }
    rig.put('servers', 'd0', entry)
    del rig.servers['d0']
    time.sleep(0.3)


@given('e1 is reached through a link')
def _behind_link(rig, fleet):
    link = fleet.start_link('link', rig.servers['e1'])
    rig.servers['e1'] = link.address
    rig.register('e1', 'narrator', 'north-1')
    time.sleep(0.3)  # until the front has the new address


@when(
    parsers.parse(
        'the front and the link are paused for {span:g} s, '
        'the link {longer:g} s longer'
    )
)
def _pause(rig, fleet, calls, span, longer):
    fleet.pause('link')
    fleet.pause('front')
    time.sleep(span)
    fleet.resume('front')
    time.sleep(longer)
    fleet.resume('link')
    calls.thread.join()


@when(
    parsers.parse('e1 takes {slow:d} ms instead of {_usual:d} ms for an event')
)
def _turns_slow(rig, fleet, calls, slow):
    fleet.control('e1', event_ms=slow)
    calls.thread.join()


@when(parsers.parse('a caller has begun to read a stream of {events:d} events'))
def _begins_stream(rig, calls, events):
    calls.start_stream(rig.fronts['front'], events)
    deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
    while not any(run['events'] >= 8 for run in rig.all_runs()):
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


@when(parsers.parse('a caller requests a stream of {events:d} events'))
def _stream(rig, calls, events):
    calls.stream(rig.fronts['front'], events)


@when(
    parsers.parse(
        'a caller requests a stream of {events:d} events and {name} is killed '
        'after {delay:g} s',
    ),
)
def _stream_killed(rig, fleet, calls, events, name, delay):
    calls.start_stream(rig.fronts['front'], events)
    time.sleep(delay)
    assert rig.runs(name)
    fleet.kill(name)
    del rig.servers[name]
    calls.thread.join()


@when('a caller buys')
@when('a caller buys at once')
def _buys(rig, calls):
    calls.buy(rig.fronts['front'])


@when(parsers.parse('a caller buys {count:d} times'))
def _buys_often(rig, calls, count):
    for _ in range(count):
        calls.buy(rig.fronts['front'])


@when(parsers.parse('a caller looks up {count:d} times'))
def _looks_up(rig, calls, count):
    for number in range(count):
        headers = request_headers(Attempt_Id=f'{number:016x}')
        calls.answers.append(
            send(rig.fronts['front'], LOOKUP_PATH, 'GET', None, headers),
        )


@when(parsers.parse('a caller disconnects from its stream after {delay:g} s'))
def _disconnects(rig, delay):
    headers = request_headers(Token_Count='100,7000')
    lines = [f'{name}: {text}' for name, text in headers.items()]
    request = '\r\n'.join(
        [f'POST {STREAM_PATH} HTTP/1.1', *lines, 'Content-Length: 0', '', ''],
    )
    with socket.create_connection(split_address(rig.fronts['front'])) as caller:
        caller.sendall(request.encode())
        time.sleep(delay)
        assert caller.recv(BYTES_PER_READ)


@when(
    parsers.parse(
        'the front gets SIGTERM during a stream of {events:d} events'
    ),
)
def _stops_during_stream(rig, fleet, calls):
    calls.start_stream(rig.fronts['front'], 40)
    time.sleep(0.3)
    fleet.members['front'].process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    rig.add_server('d1', 'desk')
    time.sleep(0.2)
    calls.refused = send(
        rig.fronts['front'],
        STREAM_PATH,
        headers=request_headers(Token_Count='100,70'),
    )
    answers = [
        send(
            rig.fronts['front'],
            CALL_PATH,
            headers=request_headers(Deadline_Ms=deadline_ms),
        )
        for deadline_ms in ('2000', '5000')
    ]
    calls.call = answers[0]
    calls.long_call = answers[1]
    calls.thread.join()


@when('the link is cut and the key revoked')
def _cut(rig, fleet):
    fleet.control('link', cut=True)
    rig.keys.clear()
    rig.configure()


@when('the link is restored')
def _healed(fleet):
    fleet.control('link', cut=False)


@when(parsers.parse('{span:g} s pass'))
def _wait(span):
    time.sleep(span)


@when(
    'the front is suspended, the key revoked, and the front resumed after 5 s',
)
def _stopped(rig, fleet):
    process = fleet.members['front'].process
    process.send_signal(signal.SIGSTOP)
    rig.keys.clear()
    rig.configure()
    fleet.control('link', cut=True)
    time.sleep(5)
    process.send_signal(signal.SIGCONT)


@when(
    parsers.parse(
        'the settings say that a revoked key works for 2 s at most, {how}',
    ),
)
def _shorter_revocation(fleet, how):
    _rewrite(fleet, 'revoke_ms = 5000', 'revoke_ms = 2000')
    if how == 'with a signal':
        fleet.members['front'].process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
    else:
        time.sleep(2.5)
    output = (fleet.folder / 'front.out').read_text()
    assert output.count('settings read again') == 1


@when('the settings become invalid and the front gets a signal')
def _invalid_settings(fleet):
    _rewrite(fleet, 'revoke_ms = 5000', 'revoke_ms = soon')
    fleet.members['front'].process.send_signal(signal.SIGHUP)
    time.sleep(0.3)


def _rewrite(fleet, before, after):
    path = fleet.folder / 'front.ini'
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))


@when('the store drops its history and the key is revoked')
def _drop_history(rig, fleet):
    rig.keys.clear()
    rig.configure()
    fleet.control('store', forget=True)


@when('invalid entries are written to the table')
def _invalid_entries(rig):
    rig.put('servers', 's1', 'no JSON at all')
    rig.put('servers', 's2', {'service': 'desk'})
    rig.put('servers', 's3', {'service': 7, 'address': [], 'state': 'odd'})
    time.sleep(0.3)


@when('a caller sends reserved headers with its stream')
def _reserved_headers(rig, calls):
    calls.stream(rig.fronts['front'], 5, **RESERVED_HEADERS)


@when(parsers.parse('a caller sends an invalid request: {what}'))
def _invalid_request(rig, calls, what):
    calls.status = _raw_status(rig.fronts['front'], INVALID_REQUESTS[what])


@then(
    parsers.parse(
        'the caller has received events 1 to {last:d} and a complete answer'
    )
)
def _complete(calls, last):
    assert calls.last.status == 200
    assert calls.last.events == list(range(1, last + 1))
    assert calls.last.whole


@then('exactly 1 run began, for account lakeshore, without the key')
def _one_run(rig):
    (run,) = rig.all_runs()
    assert run['account'] == ACCOUNT
    assert KEY not in str(run['headers'])


@then(parsers.parse('{name} continued from a copy'))
def _copied(rig, name):
    assert [run['from_copy'] for run in rig.runs(name)] == [True]


@then(
    parsers.parse(
        'the two runs of the request overlapped for less than {span:g} s',
    ),
)
def _short_overlap(rig, span):
    first = rig.runs('e1')[0]
    second = rig.runs('e2')[0]
    assert first['state'] == 'abandoned'
    assert first['ended_s'] < second['ended_s']
    worked_s = (20 - second['first']) * 0.02
    assert first['ended_s'] - (second['ended_s'] - worked_s) < span


@then(parsers.parse('the caller gets {status:d}'))
def _gets(calls, status):
    assert calls.last.status == status


@then(parsers.parse('the caller does not get {status:d}'))
def _gets_not(calls, status):
    assert calls.last.status != status


@then(parsers.parse('the purchase ran {count:d} times'))
def _ran(rig, count):
    assert len(rig.all_runs()) == count


@then('each lookup was answered with its own answer')
def _lookup_answers(calls):
    for number, answer in enumerate(calls.answers):
        assert answer.status == 200
        assert f'{number:016x}'.encode() in answer.body


@then('the answer has a retry time')
def _retry_time(calls):
    assert 0 < float(calls.last.headers['retry-after']) < 2


@then('each purchase was answered and ran once')
def _each_once(rig, calls):
    assert [answer.status for answer in calls.answers] == [
        200 for _ in range(6)
    ]
    ids = [run['request_id'] for run in rig.all_runs()]
    assert len(ids) == len(set(ids)) == 6


@then(parsers.parse('all runs are abandoned {span:g} s later'))
def _abandoned(rig, span):
    time.sleep(span)
    assert [run['state'] for run in rig.all_runs()] == ['abandoned']


@then('a stream requested meanwhile was refused as not run')
def _refused(rig, calls):
    assert calls.refused.status == 503
    assert float(calls.refused.headers['retry-after']) > 0
    assert calls.refused.headers['connection'] == 'close'
    assert len(rig.runs('e1')) == 1


@then(
    'a call requested meanwhile was answered, on a connection to be closed',
)
def _answered(calls):
    assert calls.call.status == 200
    assert calls.call.headers['connection'] == 'close'


@then('a call that may outlast the grace time was refused as not run')
def _long_call_refused(rig, calls):
    assert calls.long_call.status == 503
    assert float(calls.long_call.headers['retry-after']) > 0
    assert calls.long_call.headers['connection'] == 'close'
    assert len(rig.runs('d1')) == 1


@then(parsers.parse('a purchase is soon answered with {status:d}'))
def _soon_answered_with(rig, calls, status):
    deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if calls.buy(rig.fronts['front']).status == status:
            return
        time.sleep(POLL_S)
    pytest.fail(f'last answer: {calls.last}')


@then(parsers.parse('a purchase is answered with {status:d}'))
def _answered_with(rig, calls, status):
    assert calls.buy(rig.fronts['front']).status == status


@then('none of them reached the engine')
def _not_forwarded(rig):
    (run,) = rig.all_runs()
    for name, text in RESERVED_HEADERS.items():
        assert run['headers'].get(name.replace('_', '-').lower()) != text


@then(parsers.parse('it gets {status:d} and nothing ran'))
def _nothing_ran(rig, calls, status):
    assert calls.status == status
    assert not rig.all_runs()


EMPTY_BODY = 'Content-Length: 0'


def _raw(path, *lines, body='', **changes):
    headers = [
        f'{name}: {text}' for name, text in request_headers(**changes).items()
    ]
    head = [f'POST {path} HTTP/1.1', *headers, *lines, '', '']
    return '\r\n'.join(head).encode() + body.encode()


INVALID_REQUESTS = {
    'two lengths': _raw(
        CALL_PATH, 'Content-Length: 2', 'Content-Length: 5', body='{}'
    ),
    'a length and chunked coding': _raw(
        CALL_PATH,
        'Content-Length: 4',
        'Transfer-Encoding: chunked',
        body='0\r\n\r\nPOST /buy/x HTTP/1.1\r\n\r\n',
    ),
    'a chunk without a valid size': _raw(
        CALL_PATH, 'Transfer-Encoding: chunked', body='zz\r\n{}\r\n0\r\n\r\n'
    ),
    'an unknown key': _raw(
        CALL_PATH, 'Content-Length: 0', Authorization='Bearer wrong-key'
    ),
    'no key': _raw(CALL_PATH, 'Content-Length: 0', Authorization=None),
    'an unknown path': _raw('/nowhere/a', 'Content-Length: 0'),
    'a body that is too large': _raw(
        CALL_PATH, 'Content-Length: 200000', body='x' * 1000
    ),
    'a deadline that is not a number': _raw(
        CALL_PATH, 'Content-Length: 0', Deadline_Ms='soon'
    ),
    'a deadline of nan': _raw(CALL_PATH, EMPTY_BODY, Deadline_Ms='nan'),
    'a deadline of inf': _raw(CALL_PATH, EMPTY_BODY, Deadline_Ms='inf'),
    'a negative deadline': _raw(CALL_PATH, EMPTY_BODY, Deadline_Ms='-5'),
    'a negative number of tokens': _raw(
        STREAM_PATH, EMPTY_BODY, Token_Count='-1,7'
    ),
    'a negative event number': _raw(
        STREAM_PATH, EMPTY_BODY, Token_Count='1,7', Last_Event_Id='-3'
    ),
}


def _raw_status(address, request):
    with socket.create_connection(split_address(address), timeout=5) as caller:
        caller.sendall(request)
        received = caller.recv(BYTES_PER_READ)
    return int(received.split()[1])
