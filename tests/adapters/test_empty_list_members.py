"""Lists of transfer codings with empty members, which HTTP has ignored."""

import pytest

from celerywharf.adapters.transports import is_framed
from standins.broken_answers import BreakingServer, signed_answer
from tests.adapters.exchanges import fetch_once

CHUNKS = '2\r\n{}\r\n0\r\n\r\n'
LISTS = (',chunked', 'chunked,', ' , chunked')


# RFC 9110, 5.6.1.2: recipients ignore empty members of a list.
@pytest.mark.parametrize('codings', LISTS)
def test_an_answer_with_an_empty_transfer_coding_is_not_refused(codings):
    answer = signed_answer(f'Transfer-Encoding: {codings}', body=CHUNKS)
    with BreakingServer(answer) as server:
        assert fetch_once(server.address, b'{}').body == b'{}'


# A stream without an event was refused as one that had broken off.
@pytest.mark.parametrize('codings', LISTS)
def test_an_empty_transfer_coding_does_not_hide_where_a_body_ends(codings):
    assert is_framed({'transfer-encoding': codings})


def test_a_body_in_another_coding_than_chunks_has_no_known_end():
    assert not is_framed({'transfer-encoding': 'chunked, gzip,'})
