"""Answers with malformed heads, as callers of a front see them."""

import pytest

from standins.broken_answers import (
    MALFORMED_LINES,
    BreakingServer,
    signed_answer,
)
from standins.fronts import (
    ASK_PATH,
    ORDER_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

PATHS = (ASK_PATH, ORDER_PATH, STREAM_PATH)
EVENT = 'id: 1\ndata: word-1\n\n'
FAILED = 502
LINES = ('blank in the name', 'control byte in the name', '01 in the value')
# Fields of which the first and the last line say different things.
CONTRADICTIONS = {
    'codings': ('Content-Encoding: gzip', 'Content-Encoding: identity'),
    'signatures': ('Server-Stamp: t', 'Server-Stamp: s'),
    'request ids': ('Attempt-Id: other', 'Attempt-Id: ID'),
    'connection options': ('Connection: Server-Stamp', 'Connection: close'),
}


@pytest.fixture
def rig(fleet):
    return PlatformRig(fleet)


def _ask(rig, *lines):
    """Return the answers of a call, an order and a stream."""
    length = f'Content-Length: {len(EVENT)}'
    return _ask_for(rig, signed_answer(length, *lines, body=EVENT))


def _ask_for(rig, sound):
    with BreakingServer(sound) as server:
        rig.put('servers', 'b0', server.entry('narrator'))
        address = rig.add_front('f1')
        answers = [_send(address, path) for path in PATHS]
    assert len(set(server.request_ids)) == len(PATHS)
    return answers


def _send(address, path):
    tokens = {'Token_Count': '60,210'} if path == STREAM_PATH else {}
    return send(address, path, headers=request_headers(**tokens))


@pytest.mark.parametrize('case', LINES)
def test_an_answer_with_a_malformed_field_line_reaches_no_caller(rig, case):
    answers = _ask(rig, MALFORMED_LINES[case])
    assert {answer.status for answer in answers} == {FAILED}


# The rest of the head came to callers as the body of a signed success.
def test_a_bare_line_feed_in_a_head_makes_no_part_of_it_a_body(rig):
    sound = signed_answer(f'Content-Length: {len(EVENT)}', body=EVENT)
    spoiled = sound.replace('Server-Stamp: s\r', 'Server-Stamp: s\n')
    answers = _ask_for(rig, spoiled)
    assert {answer.status for answer in answers} == {FAILED}


@pytest.mark.parametrize('name', ['Server-Stamp', 'Attempt-Id', 'server-stamp'])
def test_an_answer_whose_connection_options_name_what_signs_it_is_none(
    rig, name
):
    answers = _ask(rig, f'Connection: close, {name}')
    assert {answer.status for answer in answers} == {FAILED}


@pytest.mark.parametrize('case', CONTRADICTIONS)
def test_an_answer_whose_fields_contradict_each_other_reaches_no_caller(
    rig, case
):
    answers = _ask(rig, *CONTRADICTIONS[case])
    assert {answer.status for answer in answers} == {FAILED}


def test_all_cookies_and_identity_codings_reach_the_caller(rig):
    answers = _ask(
        rig,
        'Set-Cookie: a=1',
        'Set-Cookie: b=2',
        'Content-Encoding: identity',
        'Content-Encoding: Identity',
    )
    cookies = {answer.headers.get('set-cookie') for answer in answers}
    assert cookies == {'a=1\nb=2'}
