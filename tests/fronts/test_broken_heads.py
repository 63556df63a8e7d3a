"""Answers that break off in their head or body, as callers of a front see."""

import secrets
import threading

import pytest

from standins.broken_answers import (
    BROKEN_BODIES,
    BROKEN_HEADS,
    CLOSED,
    RESET,
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

BROKEN = BROKEN_HEADS | BROKEN_BODIES
KINDS = (ASK_PATH, ORDER_PATH, STREAM_PATH)
REQUESTS = 2  # of each kind
TOOK_S = 2
OK = 200
FAILED = {502, 504}
NOT_RUN = {408, 421, 429, 503}


def _call(address, path, answers):
    tokens = {'Token_Count': '60,210'} if path == STREAM_PATH else {}
    headers = request_headers(**tokens)
    body = secrets.token_bytes(9)
    answer = send(address, path, body=body, headers=headers)
    answers.append((path, headers['Attempt-Id'], answer))


def _play(rig, servers):
    for place, server in enumerate(servers):
        entry = server.entry('narrator')
        rig.put('servers', f'b{place}', entry)
    address = rig.add_front('f1')
    answers = []
    callers = [
        threading.Thread(target=_call, args=(address, path, answers))
        for path in KINDS
        for _ in range(REQUESTS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return answers


def _check(path, answer, times_read):
    if path == STREAM_PATH:
        assert not answer.whole or answer.status in FAILED | NOT_RUN
        assert answer.status != OK or answer.events == [1]
    else:
        assert answer.status in FAILED | NOT_RUN
        assert answer.whole
    if path == ORDER_PATH:
        assert times_read <= 1
    assert answer.status not in NOT_RUN or not times_read
    assert answer.took_s < TOOK_S


@pytest.mark.parametrize('cut', BROKEN)
def test_an_answer_that_breaks_off_is_neither_whole_nor_denied(fleet, cut):
    rig = PlatformRig(fleet)
    with (
        BreakingServer(BROKEN[cut], ending=CLOSED) as first,
        BreakingServer(BROKEN[cut], ending=RESET) as second,
    ):
        answers = _play(rig, (first, second))
    read = first.request_ids + second.request_ids
    assert len(answers) == len(KINDS) * REQUESTS
    assert {path for path, name, _ in answers if name in read} == set(KINDS)
    for path, request_id, answer in answers:
        _check(path, answer, read.count(request_id))
