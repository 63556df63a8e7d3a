"""Answers that end before their request was written."""

import pytest

from celerywharf.exceptions import TransportError
from celerywharf.structures import Verdict
from celerywharf.units import MEBIBYTE
from standins.broken_answers import (
    CLOSED,
    HALF_CLOSED,
    RESET,
    UNFRAMED,
    BreakingServer,
)
from tests.adapters.exchanges import fetch_once

OK = 200
UPLOAD = bytes(6 * MEBIBYTE)


@pytest.mark.parametrize('ending', [CLOSED, RESET, HALF_CLOSED])
@pytest.mark.parametrize('version', UNFRAMED)
def test_an_unframed_answer_to_an_unwritten_request_is_not_whole(
    version, ending
):
    with (
        BreakingServer(
            UNFRAMED[version], ending=ending, reads_bodies=False
        ) as server,
        pytest.raises(TransportError) as failure,
    ):
        fetch_once(server.address, UPLOAD)
    assert failure.value.verdict is Verdict.may_have_run


@pytest.mark.parametrize('ending', [CLOSED, HALF_CLOSED])
@pytest.mark.parametrize('version', UNFRAMED)
@pytest.mark.parametrize('body', [b'', b'{}', UPLOAD])
def test_an_unframed_answer_to_a_written_request_is_whole(
    version, ending, body
):
    with BreakingServer(UNFRAMED[version], ending=ending) as server:
        response = fetch_once(server.address, body)
    assert (response.status, response.body) == (OK, b'{}')
