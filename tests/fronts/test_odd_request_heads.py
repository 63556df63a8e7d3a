"""Requests whose heads are malformed, or hide what engines need."""

import socket

import pytest

from standins.fronts import (
    CALL_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
)
from standins.launching import Fleet
from standins.serving import split_address

TIMEOUT_S = 5
READ_BYTES = 4096
BAD_REQUEST = b'400'
OK = b'200'
TOKENS = 'Token-Count: 60,20'
MALFORMED = {
    'blank in a name': 'Cache Control: x',
    'control byte in a name': 'Cache\x01Control: x',
    'name beyond ASCII': 'Cach\xe9: x',
    'slash in a name': 'Cache/Control: x',
    'blank before the colon': 'Cache-Control : x',
    'empty name': ': x',
    'control byte in a value': 'Cache-Control: x\x01y',
    'folded line': 'Cache-Control: x\r\n y',
}
# Names of headers that an engine must get.
NEEDED = ('Attempt-Id', 'attempt-id', 'Model', 'Token-Count', 'Host')
REPEATED = {
    'id': 'Attempt-Id: other',
    'model': 'Model: other',
    'host': 'Host: other.example',
    'tokens': 'Token-Count: 1,2',
}
# Names of headers that are set for the engine, whatever the caller says.
SET_HERE = ('Expect-Instance', 'Tenant', 'Deadline-Ms')


@pytest.fixture(scope='module')
def rig():
    with Fleet() as fleet:
        rig = PlatformRig(fleet)
        rig.add_server('e1', 'narrator')
        rig.add_server('d1', 'desk')
        rig.add_front('f1')
        yield rig


def _send(rig, path, *lines):
    """Return the status of the answer to a request with more lines."""
    headers = request_headers(Model='m')
    head = [
        f'POST {path} HTTP/1.1',
        *(f'{name}: {text}' for name, text in headers.items()),
        *lines,
        'Content-Length: 0',
        '',
        '',
    ]
    address = split_address(rig.fronts['f1'])
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall('\r\n'.join(head).encode('latin-1'))
        return connection.recv(READ_BYTES).split(b' ')[1]


@pytest.mark.parametrize('case', MALFORMED)
def test_a_request_with_a_malformed_line_is_not_forwarded(rig, case):
    runs = len(rig.all_runs())
    assert _send(rig, CALL_PATH, MALFORMED[case]) == BAD_REQUEST
    assert len(rig.all_runs()) == runs


@pytest.mark.parametrize('name', NEEDED)
def test_connection_options_do_not_hide_what_an_engine_needs(rig, name):
    runs = len(rig.all_runs())
    option = f'Connection: close, {name}'
    assert _send(rig, STREAM_PATH, TOKENS, option) == BAD_REQUEST
    assert len(rig.all_runs()) == runs


@pytest.mark.parametrize('case', REPEATED)
def test_a_request_with_two_values_where_one_counts_is_refused(rig, case):
    runs = len(rig.all_runs())
    line = REPEATED[case]
    assert _send(rig, STREAM_PATH, TOKENS, line) == BAD_REQUEST
    assert len(rig.all_runs()) == runs


@pytest.mark.parametrize('name', SET_HERE)
def test_connection_options_do_not_remove_what_is_set_for_the_engine(rig, name):
    assert _send(rig, CALL_PATH, f'Connection: {name}') == OK
    assert rig.runs('d1')[-1]['headers'][name.lower()]


def test_connection_options_remove_other_headers(rig):
    assert _send(rig, CALL_PATH, 'X-A: b', 'Connection: X-A') == OK
    assert 'x-a' not in rig.runs('d1')[-1]['headers']
