"""Streams that break off and are then answered with an error."""

import contextlib
import secrets
import time

import pytest

from standins.broken_answers import BreakingServer
from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

BEGUN = 5
EVENTS = 30
SETTLES_S = 0.5
TOKENS = EVENTS * 7
STREAMS = 4
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


@contextlib.contextmanager
def _engines(rig, *answers):
    """Run engines that answer one after another; yield what they read."""
    request_ids = []
    with contextlib.ExitStack() as running:
        for name in ('e1', 'e2', 'e3'):
            engine = BreakingServer(*answers, request_ids=request_ids)
            running.enter_context(engine)
            rig.servers[name] = engine.address
            rig.put('servers', name, engine.entry('narrator'))
        yield request_ids


def _stream(fleet, *answers, tokens=TOKENS):
    """Return what a caller gets and how many engines were asked."""
    rig = PlatformRig(fleet)
    with _engines(rig, *answers) as request_ids:
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


def test_a_stream_is_cut_after_two_answers_without_an_event(fleet):
    answer, sends = _stream(fleet, BEGINNING, EMPTY)
    assert answer.events == list(range(1, BEGUN + 1))
    assert not answer.whole
    assert sends == 3


def test_a_caller_that_resumes_a_stream_gets_an_answer_without_an_event(fleet):
    rig = PlatformRig(fleet)
    with _engines(rig, EMPTY) as request_ids:
        address = rig.add_front('f1')
        headers = request_headers(
            Token_Count=f'60,{TOKENS}', Last_Event_Id=str(BEGUN)
        )
        answer = send(address, STREAM_PATH, headers=headers)
    assert (answer.status, answer.whole, answer.body) == (OK, True, b'')
    assert len(request_ids) == 1


def test_a_stream_of_another_host_does_not_end_without_an_event(fleet):
    rig = PlatformRig(fleet)
    with _engines(rig, BEGINNING, EMPTY):
        for name in ('f1', 'f2', 'f3'):
            rig.add_front(name, shares=True, module='standins.cut_fronts')
        time.sleep(SETTLES_S)
        fleet.cut('f1', 'refuse', list(rig.servers.values()))
        time.sleep(SETTLES_S)
        answers = []
        for _ in range(STREAMS):
            headers = request_headers(Token_Count=f'60,{TOKENS}')
            body = secrets.token_bytes(9)
            answers.append(
                send(rig.fronts['f1'], STREAM_PATH, body=body, headers=headers)
            )
    begun = [answer for answer in answers if answer.status == OK]
    assert '"message": "passed on"' in fleet.log('f1')
    assert begun
    for answer in begun:
        assert answer.events == list(range(1, BEGUN + 1))
        assert not answer.whole
