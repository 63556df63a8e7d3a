"""Invalid requests get a 4xx response and do not stop the host."""

import json
import socket

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.rigs import (
    ACCOUNT_KEY,
    INNER_KEY,
    OPERATOR_KEY,
    Place,
    Rig,
    completion,
)
from standins.launching import Fleet

scenarios('bad_input.feature')

BODY_LIMIT = 1024 * 1024
HEADER_LIMIT = 16 * 1024
BEARER = f'Authorization: Bearer {ACCOUNT_KEY}'
READ_BYTES = 65536
TIMEOUT_S = 10
VERDICTS = {'generation_lost': 'ran'}


@pytest.fixture(scope='module')
def running_host():
    with Fleet() as fleet:
        rig = Rig.start(fleet)
        rig.add_engine('engine-0', Place(), token_interval_ms=1)
        listen = rig.add_host('host-a', Place())
        rig.fill_table(listen)
        yield listen, fleet


@given('a host with a client account and a generation service')
def _host(running_host):
    assert running_host


def _post(path, body, *headers):
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: a',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


def _get(path, *headers):
    lines = [f'GET {path} HTTP/1.1', 'Host: a', *headers]
    return '\r\n'.join([*lines, '', '']).encode()


def _completion(**changes):
    fields = {**completion('p', 3), **changes}
    present = {
        name: field for name, field in fields.items() if field is not None
    }
    return _post('/v1/completions', json.dumps(present).encode(), BEARER)


def _chunked_post(size):
    head = _post('/v1/completions', b'', BEARER).replace(
        b'Content-Length: 0',
        b'Transfer-Encoding: chunked',
    )
    return b'%s%x\r\n%s\r\n0\r\n\r\n' % (head, size, b'x' * size)


def _resume(text, generation='g-a-1'):
    last = f'Last-Event-ID: {text}'
    return _get(f'/v1/generations/{generation}', BEARER, last)


GOOD_BODY = json.dumps(completion('p', 3)).encode()
REQUESTS = {
    'a completion that is not JSON': _post('/v1/completions', b'{', BEARER),
    'a completion that is a JSON list': _post(
        '/v1/completions', b'[1]', BEARER
    ),
    'a completion without a prompt': _completion(prompt=None),
    'a completion with max_tokens 0': _completion(max_tokens=0),
    'a completion without a key': _post('/v1/completions', GOOD_BODY),
    'a completion with a wrong key': _post(
        '/v1/completions',
        GOOD_BODY,
        'Authorization: Bearer a-key-nobody-has',
    ),
    'a completion of an unknown service': _completion(model='poems'),
    'a body over the limit': _post(
        '/v1/completions', b'x' * (BODY_LIMIT + 1), BEARER
    ),
    'a chunked body over the limit': _chunked_post(BODY_LIMIT + 1),
    'headers over the limit': _get(
        '/healthz',
        BEARER,
        f'Padding: {"x" * HEADER_LIMIT}',
    ),
    'an unknown path': _get('/v2', BEARER),
    'a Last-Event-ID without offset': _resume('g-a-1'),
    'a Last-Event-ID of another generation': _resume('g-a-2.1.1'),
    'an unknown generation': _resume('g-host-a-00ff.1.1', 'g-host-a-00ff'),
    'an application call without service': _get('/apps/nothing/x', BEARER),
    "an operator's call with a caller's key": _get('/operator/status', BEARER),
}


def _exchange(listen, content):
    ip, _, port = listen.rpartition(':')
    with socket.create_connection((ip, int(port)), TIMEOUT_S) as caller:
        _send(caller, content)
        received = b''
        while not _is_complete(received):
            chunk = caller.recv(READ_BYTES)
            if not chunk:
                break
            received += chunk
    head, _, body = received.partition(b'\r\n\r\n')
    return int(head.split()[1]), body


def _send(caller, content):
    try:
        caller.sendall(content)
    except (BrokenPipeError, ConnectionResetError):
        # The host may respond and close before it has read the whole request.
        return


def _is_complete(received):
    head, found, body = received.partition(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return bool(found) and len(body) >= int(line.split(b':')[1])
    return False


@when(parsers.parse('{name} is sent'), target_fixture='answer')
def _send_request(running_host, name):
    return _exchange(running_host[0], REQUESTS[name])


@then(parsers.parse('the response is {status:d} "{code}" and nothing was run'))
def _check_refusal(answer, status, code):
    error = json.loads(answer[1])['error']
    assert (answer[0], error['code']) == (status, code)
    assert error['verdict'] == VERDICTS.get(code, 'not_run')
    assert error['message']
    assert error['request_id']


@when('the host still serves a generation')
@then('the host still serves a generation')
def _check_serving(running_host):
    status, body = _exchange(running_host[0], _completion(stream=False))
    assert status == 200
    assert json.loads(body)['usage'] == {'completion_tokens': 3}


def _log(running_host):
    return running_host[1].log('host-a')


@then('no log line contains a key')
def _check_no_key_logged(running_host):
    text = _log(running_host)
    assert text
    for key in (ACCOUNT_KEY, OPERATOR_KEY, INNER_KEY, 'a-key-nobody-has'):
        assert key not in text


@then('every log line is a JSON object with host and availability zone')
def _check_log_format(running_host):
    for line in _log(running_host).splitlines():
        fields = json.loads(line)
        assert fields['host'] == 'host-a'
        assert fields['availability_zone'] == 'zone-a1'


@then('a log line has its request id, attempt 1 and verdict ran')
def _check_log_of_generation(running_host):
    lines = [json.loads(line) for line in _log(running_host).splitlines()]
    served = [
        line for line in lines if line['message'] == 'generation finished'
    ]
    assert served[-1]['request_id']
    assert (served[-1]['attempt'], served[-1]['verdict']) == (1, 'ran')
