"""Seeded fuzz test of a front, checked against the runs of its servers.

Set ``FUZZ_SEED=7 FUZZ_COUNT=5000``, for example, for a longer run by hand.
"""

import itertools
import os
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from soak.inputs import EXTENDED, MALFORMED, VALID, draw_input, draw_inputs
from standins.fronts import CALL_PATH, PlatformRig, request_headers, send
from standins.serving import split_address

SEED = int(os.environ.get('FUZZ_SEED', '1'))
COUNT = int(os.environ.get('FUZZ_COUNT', '104'))
ANSWER_TIMEOUT_S = 0.3
SETTLE_S = 0.5
CALLERS = 8
READ_BYTES = 65536


def exchange(address, content):
    """Send bytes; return what arrives until the end or a time-out."""
    answer = b''
    with socket.create_connection(split_address(address), timeout=5) as caller:
        caller.settimeout(ANSWER_TIMEOUT_S)
        try:
            caller.sendall(content)
            while chunk := caller.recv(READ_BYTES):
                answer += chunk
        except OSError:
            return answer
    return answer


@pytest.fixture
def rig(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk')
    rig.add_front('front')
    return rig


def test_malformed_requests_are_not_forwarded(rig, fleet):
    address = rig.fronts['front']
    inputs = draw_inputs(SEED, COUNT)
    with ThreadPoolExecutor(CALLERS) as callers:
        contents = [sent.content for sent in inputs]
        received = callers.map(exchange, itertools.repeat(address), contents)
        answers = dict(zip(inputs, received, strict=True))
    time.sleep(SETTLE_S)
    ran = {run['request_id']: run for run in rig.runs('d1')}
    assert not {sent.hidden_id for sent in inputs} & set(ran)
    for sent in inputs:
        if sent.may_run:
            assert answers[sent].startswith(b'HTTP/1.1 200'), sent.kind
            assert sent.request_id in ran, sent.kind
        else:
            assert not answers[sent].startswith(b'HTTP/1.1 2'), sent.kind
            assert sent.request_id not in ran, sent.kind
    assert set(ran) <= {sent.request_id for sent in inputs}
    assert fleet.members['front'].is_running
    assert send(address, CALL_PATH, headers=request_headers()).status == 200
    output = (fleet.folder / 'front.out').read_text()
    assert '"level": "error"' not in output
    assert 'Traceback' not in fleet.log('front')


def test_inputs_of_a_seed_have_every_kind():
    inputs = draw_inputs(SEED, len(MALFORMED) + len(VALID))
    assert {sent.kind for sent in inputs} == {*MALFORMED, *VALID}
    assert inputs == draw_inputs(SEED, len(inputs))


@pytest.mark.parametrize('kind', EXTENDED)
def test_extensions_of_chunks_are_refused_and_nothing_runs(rig, kind):
    extended = draw_input(kind, SEED)
    answer = exchange(rig.fronts['front'], extended.content)
    assert answer.startswith(b'HTTP/1.1 400')
    time.sleep(SETTLE_S)
    assert not rig.runs('d1')
    complete = send(rig.fronts['front'], CALL_PATH, headers=request_headers())
    assert complete.status == 200
    assert len(rig.runs('d1')) == 1
