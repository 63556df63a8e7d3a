"""Answers that end before their request was written, as callers see them."""

import secrets

import pytest

from celerywharf.units import MEBIBYTE
from standins.broken_answers import (
    HALF_CLOSED,
    UNFRAMED,
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

LARGE_BYTES = 8 * MEBIBYTE
UPLOAD_BYTES = 6 * MEBIBYTE
CALLS = (ASK_PATH, ORDER_PATH)
OK = 200
FAILED = 502
NOT_RUN = 503
REFUSAL = (
    'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n'
    'Attempt-Id: ID\r\nServer-Stamp: s\r\n\r\n'
)


@pytest.fixture
def rig(fleet):
    rig = PlatformRig(fleet)
    configuration = rig.configuration()
    configuration['limits']['maxBodyBytes'] = LARGE_BYTES
    configuration['version'] += 1
    rig.put('op', 'config', configuration)
    return rig


def _send(rig, server, path, body):
    rig.put('servers', 'b0', server.entry('narrator'))
    address = rig.add_front('f1')
    tokens = {'Token_Count': '60,210'} if path == STREAM_PATH else {}
    return send(address, path, body=body, headers=request_headers(**tokens))


@pytest.mark.parametrize('path', CALLS)
@pytest.mark.parametrize('version', UNFRAMED)
def test_a_part_of_an_unframed_answer_to_half_an_upload_is_no_answer(
    rig, version, path
):
    with BreakingServer(
        UNFRAMED[version], ending=HALF_CLOSED, reads_bodies=False
    ) as server:
        answer = _send(rig, server, path, secrets.token_bytes(UPLOAD_BYTES))
    assert server.request_ids
    assert answer.status == FAILED


def test_a_stream_that_ends_before_half_its_upload_is_not_complete(rig):
    with BreakingServer(
        UNFRAMED['HTTP/1.1'], ending=HALF_CLOSED, reads_bodies=False
    ) as server:
        body = secrets.token_bytes(UPLOAD_BYTES)
        answer = _send(rig, server, STREAM_PATH, body)
    assert server.request_ids
    assert answer.status != OK or not answer.whole


def test_an_unframed_refusal_of_half_an_upload_is_a_refusal(rig):
    with BreakingServer(
        REFUSAL, ending=HALF_CLOSED, reads_bodies=False
    ) as server:
        body = secrets.token_bytes(UPLOAD_BYTES)
        answer = _send(rig, server, ORDER_PATH, body)
    assert server.request_ids
    assert answer.status == NOT_RUN
