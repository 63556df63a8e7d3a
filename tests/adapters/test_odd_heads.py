"""Answers whose head says another status or length than curl reads."""

import pytest

from celerywharf.exceptions import TransportError
from celerywharf.units import MEBIBYTE
from standins.broken_answers import HALF_CLOSED, BreakingServer
from tests.adapters.exchanges import fetch_once

UPLOAD = bytes(6 * MEBIBYTE)
OK = 'HTTP/1.1 200 OK'
HUGE_LENGTH = 'Content-Length: 9223372036854775808'
SHORT = {
    'space before the colon of a length': (OK, 'Content-Length : 99'),
    'length of 64 bits': (OK, HUGE_LENGTH),
    'space before the colon of a coding': (OK, 'Transfer-Encoding : chunked'),
}
EARLY = {
    'space before the colon of a length': (OK, 'Content-Length : 2'),
    'length of 64 bits': (OK, HUGE_LENGTH),
    'identity and a length': (
        OK,
        'Transfer-Encoding: identity',
        'Content-Length: 2',
    ),
}
STATUS_IN_HEADER = ('HTTP/1.1 500 Failed', f'{OK}: x', 'Content-Length: 2')


def _answer(lines):
    return '\r\n'.join((*lines, 'Attempt-Id: ID', 'Server-Stamp: s', '', '{}'))


def _status(address, body):
    """Return the status of a whole answer; None if there is none."""
    try:
        return fetch_once(address, body).status
    except TransportError:
        return None


@pytest.mark.parametrize('case', SHORT)
def test_a_body_shorter_than_stated_is_not_whole(case):
    with BreakingServer(_answer(SHORT[case])) as server:
        assert _status(server.address, b'{}') is None


@pytest.mark.parametrize('case', EARLY)
def test_an_answer_read_to_the_end_needs_a_written_request(case):
    with BreakingServer(
        _answer(EARLY[case]), ending=HALF_CLOSED, reads_bodies=False
    ) as server:
        assert _status(server.address, UPLOAD) is None


def test_a_header_does_not_replace_the_status():
    with BreakingServer(_answer(STATUS_IN_HEADER)) as server:
        assert _status(server.address, b'{}') in {None, 500}
