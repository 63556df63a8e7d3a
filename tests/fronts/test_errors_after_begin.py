"""Streams that break off and are then answered with an error."""

import pytest

from standins.broken_answers import BreakingServer
from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

BEGUN = 5
EVENTS = 30
TOKENS = EVENTS * 7
OK = 200
ID = 'Attempt-Id: ID\r\nServer-Stamp: s2\r\n'
SIGNED = f'HTTP/1.1 200 OK\r\n{ID}'
ERROR = '{"error":"x"}'
LENGTH = f'Content-Length: {len(ERROR)}\r\n'


def _events(first, last):
    numbers = range(first, last + 1)
    return ''.join(f'id: {each}\ndata: word-{each}\n\n' for each in numbers)


def _chunk(body):
    return f'{len(body):x}\r\n{body}\r\n' if body else ''


def _chunked(body):
    chunk = _chunk(body)
    return f'{SIGNED}Transfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n'


def _error(status, rest=''):
    rest = rest or f'{LENGTH}\r\n{ERROR}'
    return f'HTTP/1.1 {status} Status\r\n{ID}{rest}'


BEGINNING = (
    'HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Stamp: s1\r\n'
    'Content-Type: text/event-stream\r\n'
    f'Transfer-Encoding: chunked\r\n\r\n{_chunk(_events(1, BEGUN))}'
)
EMPTY = f'{SIGNED}Content-Length: 0\r\n\r\n'
SECOND_ANSWERS = {
    '500': _error(500),
    '500 without length': _error(500, f'\r\n{ERROR}'),
    '404': _error(404),
    '503': _error(503),
    '503 that did not run': _error(503, f'Not-Run: 1\r\n{LENGTH}\r\n{ERROR}'),
    '429': _error(429),
    '302': _error(302, f'Location: /x\r\n{LENGTH}\r\n{ERROR}'),
    '204': _error(204, '\r\n'),
    '206': _error(206),
    'JSON': f'{SIGNED}{LENGTH}\r\n{ERROR}',
    'JSON without length': f'{SIGNED}\r\n{ERROR}',
    'JSON in chunks': _chunked(ERROR),
    'JSON that ends like an event': _chunked(f'{ERROR}\n\n'),
    'half an event': _chunked('id: 6\ndata: wo'),
    'half an event without length': f'{SIGNED}\r\nid: 6\ndata: wo',
    'half a head': SIGNED,
    'a later event': _chunked(_events(7, EVENTS)),
    'length 0': EMPTY,
    'no chunk': _chunked(''),
    'no body': f'{SIGNED}\r\n',
    'a comment': _chunked(': done\n\n'),
    'the same events': _chunked(_events(1, BEGUN)),
}


def _stream(fleet, *answers, tokens=TOKENS):
    """Return what a caller gets of engines that answer one after another."""
    rig = PlatformRig(fleet)
    request_ids = []
    servers = [BreakingServer(*answers, request_ids=request_ids) for _ in 'abc']
    with servers[0], servers[1], servers[2]:
        for place, server in enumerate(servers):
            rig.put('servers', f'b{place}', server.entry('narrator'))
        address = rig.add_front('f1')
        headers = request_headers(Token_Count=f'60,{tokens}')
        answer = send(address, STREAM_PATH, headers=headers)
    return answer, len(request_ids)


@pytest.mark.parametrize('second', SECOND_ANSWERS)
def test_an_error_does_not_become_part_of_a_stream_that_has_begun(
    fleet, second
):
    answer, sends = _stream(fleet, BEGINNING, SECOND_ANSWERS[second])
    assert sends > 1
    assert answer.status == OK
    assert answer.headers['server-stamp'] == 's1'
    assert answer.body.decode() == _events(1, BEGUN)
    assert not answer.whole


def test_a_stream_goes_on_after_an_answer_without_an_event(fleet):
    rest = _chunked(_events(BEGUN + 1, EVENTS))
    answer, _ = _stream(fleet, BEGINNING, EMPTY, rest)
    assert answer.body.decode() == _events(1, EVENTS)
    assert answer.whole


def test_a_stream_with_an_event_for_each_token_ends_without_another(fleet):
    answer, sends = _stream(fleet, BEGINNING, EMPTY, tokens=BEGUN)
    assert answer.body.decode() == _events(1, BEGUN)
    assert answer.whole
    assert sends == 2
