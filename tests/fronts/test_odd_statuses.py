"""Answers with an invalid status, as callers of a front see them."""

import pytest

from standins.broken_answers import (
    BAD_STATUSES,
    BreakingServer,
)
from standins.fronts import (
    ASK_PATH,
    ORDER_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

FAILED = 502


@pytest.fixture
def rig(fleet):
    return PlatformRig(fleet)


def _send(rig, server, path):
    rig.put('servers', 'b0', server.entry('narrator'))
    address = rig.add_front('f1')
    tokens = {'Token_Count': '60,210'} if path == STREAM_PATH else {}
    return send(address, path, headers=request_headers(**tokens))


@pytest.mark.parametrize('path', [ASK_PATH, ORDER_PATH, STREAM_PATH])
@pytest.mark.parametrize('status', BAD_STATUSES)
def test_an_answer_whose_status_is_none_reaches_no_caller(rig, status, path):
    with BreakingServer(BAD_STATUSES[status]) as server:
        answer = _send(rig, server, path)
    assert server.request_ids
    assert answer.status == FAILED
