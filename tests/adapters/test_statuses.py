"""Answers with an invalid status are failed sends."""

import pytest

from celerywharf.exceptions import TransportError
from celerywharf.structures import Verdict
from standins.broken_answers import (
    BAD_STATUSES,
    BreakingServer,
)
from tests.adapters.exchanges import fetch_once


@pytest.mark.parametrize('status', BAD_STATUSES)
def test_an_answer_whose_status_is_not_of_three_digits_in_range_fails(status):
    with (
        BreakingServer(BAD_STATUSES[status]) as server,
        pytest.raises(TransportError) as failure,
    ):
        fetch_once(server.address, b'{}')
    assert failure.value.verdict is Verdict.may_have_run
    assert not failure.value.answer_begun
