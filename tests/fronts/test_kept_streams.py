"""Streams whose engines fall silent for a moment while retries are scarce."""

import secrets
import threading
import time

import pytest

from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

ENGINES = ('e1', 'e2', 'e3', 'e4')
FRONTS = ('f1', 'f2', 'f3')
CALLERS = 8  # of each front
EVENTS = 60
TOKENS = f'60,{EVENTS * 7}'
EVENT_MS = 40
DEADLINE_MS = '8000'
ROUTE_TIMEOUT_S = 5.0
SILENT_S = 1.2
SPEAKS_S = 3.0
ROUNDS = 3
OK = 200


@pytest.fixture
def rig(fleet):
    started = PlatformRig(fleet)
    for name in ENGINES:
        started.add_server(name, 'narrator', event_ms=EVENT_MS)
    return started


def _call(address, ends_s, answers):
    while time.monotonic() < ends_s:
        headers = request_headers(Token_Count=TOKENS, Deadline_Ms=DEADLINE_MS)
        body = secrets.token_bytes(9)
        answers.append(send(address, STREAM_PATH, body=body, headers=headers))


def _silence(rig, names):
    for _ in range(ROUNDS):
        time.sleep(SPEAKS_S)
        for name in names:
            rig.fleet.pause(name)
        time.sleep(SILENT_S)
        for name in names:
            rig.fleet.resume(name)


def _play(rig, silent_names):
    answers = []
    ends_s = time.monotonic() + ROUNDS * (SPEAKS_S + SILENT_S)
    threads = [
        threading.Thread(
            target=_call, args=(rig.fronts[front], ends_s, answers)
        )
        for front in FRONTS
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    _silence(rig, silent_names)
    for thread in threads:
        thread.join()
    return answers


def _cut_early(answers):
    """Return the answers that ended before their end and the time-out."""
    return [
        (answer.status, len(answer.events), round(answer.took_s, 2))
        for answer in answers
        if answer.status != OK
        or (len(answer.events) < EVENTS and answer.took_s < ROUTE_TIMEOUT_S)
    ]


@pytest.mark.parametrize('silent', [ENGINES[1:], ENGINES], ids=['three', 'all'])
@pytest.mark.parametrize(
    ('ratio', 'slack'), [(0.8, 150), (0.2, 10), (0.2, 0)], ids=str
)
def test_a_silent_stream_is_not_cut_for_want_of_a_retry(
    rig, ratio, slack, silent
):
    for front in FRONTS:
        rig.add_front(
            front,
            shares=True,
            retry_ratio=ratio,
            retry_window_s=10,
            retry_slack=slack,
        )
    answers = _play(rig, silent)
    assert len(answers) > len(FRONTS) * CALLERS
    cut = _cut_early(answers)
    assert not cut, (len(cut), len(answers), cut[:5])
