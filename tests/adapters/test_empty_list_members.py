"""Lists of transfer codings with empty members, which HTTP has ignored."""

import pytest

from standins.broken_answers import BreakingServer, signed_answer
from tests.adapters.exchanges import fetch_once

CHUNKS = '2\r\n{}\r\n0\r\n\r\n'


# RFC 9110, 5.6.1.2: recipients ignore empty members of a list.
@pytest.mark.parametrize('codings', [',chunked', 'chunked,', ' , chunked'])
def test_an_answer_with_an_empty_transfer_coding_is_not_refused(codings):
    answer = signed_answer(f'Transfer-Encoding: {codings}', body=CHUNKS)
    with BreakingServer(answer) as server:
        assert fetch_once(server.address, b'{}').body == b'{}'
