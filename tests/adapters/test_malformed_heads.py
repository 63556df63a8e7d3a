"""Heads with malformed lines are failed sends; HTTP's odd forms are not."""

import pytest

from celerywharf.exceptions import TransportError
from celerywharf.structures import Verdict
from standins.broken_answers import (
    MALFORMED_LINES,
    SHORT_LENGTH,
    BreakingServer,
    signed_answer,
)
from tests.adapters.exchanges import fetch_once

# What the response holds after a line that HTTP allows, or has a gateway mend.
ALLOWED_LINES = {
    'empty value': ('X-A:', ('x-a', '')),
    'no blank before the value': ('X-A:b', ('x-a', 'b')),
    'blanks around the value': ('X-A: \t b \t', ('x-a', 'b')),
    'tab in the value': ('X-A: b\tc', ('x-a', 'b\tc')),
    'value beyond ASCII': ('X-A: é', ('x-a', 'é'.encode().decode('latin-1'))),
    'colon in the value': ('X-A: b:c', ('x-a', 'b:c')),
    'upper case': ('X-UPPER: B', ('x-upper', 'B')),
    'token of all kinds': (
        "!#$%&'*+-.^_`|~0aZ: b",
        ("!#$%&'*+-.^_`|~0az", 'b'),
    ),
    'blank before the colon': ('X-A : b', ('x-a', 'b')),
    'folded line': ('X-A: b\r\n c', ('x-a', 'b c')),
}

CHUNKED = 'Transfer-Encoding: chunked'
IDENTITY = 'Transfer-Encoding: identity'
CHUNKS = '2\r\n{}\r\n0\r\n\r\n'
# Heads whose readers disagree on where the body ends.
AMBIGUOUS_HEADS = {
    'two lengths': (SHORT_LENGTH, 'Content-Length: 3'),
    'two forms of a length': (SHORT_LENGTH, 'Content-Length: 02'),
    'list of lengths': ('Content-Length: 2, 2',),
    'chunked twice': (CHUNKED, CHUNKED),
    'chunked, then identity': (CHUNKED, IDENTITY),
    'identity, then chunked': (IDENTITY, CHUNKED),
    'identity and a length': (IDENTITY, SHORT_LENGTH),
    'gzip and chunked': ('Transfer-Encoding: gzip, chunked',),
    'empty coding': ('Transfer-Encoding:',),
}
# Fields that HTTP allows to come twice, and what the response holds of them.
REPEATED_FIELDS = {
    'cookies': (('Set-Cookie: a=1', 'Set-Cookie: b=2'), 'a=1\nb=2'),
    'any case': (('Vary: a', 'VARY: b'), 'a\nb'),
    'an empty value': (('Vary:', 'Vary: b'), '\nb'),
    'equal lengths': ((SHORT_LENGTH, SHORT_LENGTH), '2'),
}


def _assert_failed(answer):
    with (
        BreakingServer(answer) as server,
        pytest.raises(TransportError) as failure,
    ):
        fetch_once(server.address, b'{}')
    assert failure.value.verdict is Verdict.may_have_run
    assert not failure.value.answer_begun


@pytest.mark.parametrize('case', MALFORMED_LINES)
def test_an_answer_with_a_malformed_field_line_fails(case):
    line = MALFORMED_LINES[case]
    _assert_failed(signed_answer(line, SHORT_LENGTH))
    _assert_failed(signed_answer(SHORT_LENGTH, line))


def test_an_answer_whose_first_field_line_begins_with_a_blank_fails():
    _assert_failed(
        signed_answer(SHORT_LENGTH).replace('Attempt-Id', ' Attempt-Id')
    )


def test_an_answer_whose_reason_has_a_control_byte_fails():
    _assert_failed(signed_answer(SHORT_LENGTH).replace('OK', 'O\x01K'))


def test_an_answer_after_an_interim_head_with_a_malformed_line_fails():
    interim = 'HTTP/1.1 103 Hints\r\nCache Control: x\r\n\r\n'
    _assert_failed(interim + signed_answer(SHORT_LENGTH))


@pytest.mark.parametrize('case', ALLOWED_LINES)
def test_an_answer_with_an_odd_line_that_http_allows_is_a_response(case):
    line, (name, value) = ALLOWED_LINES[case]
    with BreakingServer(signed_answer(SHORT_LENGTH, line)) as server:
        response = fetch_once(server.address, b'{}')
    assert response.body == b'{}'
    assert response.headers[name] == value


def test_malformed_trailers_are_discarded():
    chunks = '2\r\n{}\r\n0\r\nCache Control: x\r\n\r\n'
    chunked = signed_answer('Transfer-Encoding: chunked', body=chunks)
    with BreakingServer(chunked) as server:
        response = fetch_once(server.address, b'{}')
    assert response.body == b'{}'
    assert 'cache control' not in response.headers


@pytest.mark.parametrize('case', AMBIGUOUS_HEADS)
def test_an_answer_whose_length_can_be_read_in_two_ways_fails(case):
    lines = AMBIGUOUS_HEADS[case]
    body = CHUNKS if CHUNKED in lines else '{}'
    _assert_failed(signed_answer(*lines, body=body))


@pytest.mark.parametrize('case', REPEATED_FIELDS)
def test_all_lines_of_a_field_are_kept(case):
    lines, value = REPEATED_FIELDS[case]
    with BreakingServer(signed_answer(*lines)) as server:
        response = fetch_once(server.address, b'{}')
    name = lines[0].partition(':')[0].lower()
    assert response.headers[name] == value
    assert response.body == b'{}'


def test_chunks_override_a_length():
    answer = signed_answer(CHUNKED, SHORT_LENGTH, body=CHUNKS)
    with BreakingServer(answer) as server:
        assert fetch_once(server.address, b'{}').body == b'{}'
