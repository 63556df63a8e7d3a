"""Calls that come late in the grace time of a planned stop."""

import secrets
import signal
import threading
import time

import pytest

from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    PlatformRig,
    request_headers,
    send,
)

GRACE_S = 8
PERIOD_S = 0.2
OK = 200
REFUSED = 503
UNKNOWN = {502, 504}


@pytest.fixture
def rig(fleet):
    started = PlatformRig(fleet)
    started.add_server('d1', 'desk')
    started.add_server('d2', 'desk')
    started.add_front('f1', grace_s=GRACE_S)
    return started


def _call(address, path, sent, stopped_s):
    headers = request_headers()
    at_s = time.monotonic() - stopped_s
    answer = send(address, path, body=secrets.token_bytes(9), headers=headers)
    sent.append((round(at_s, 1), headers['Attempt-Id'], answer))


def _call_while_it_stops(rig):
    """Send a lookup and a purchase each 0.2 s until the front has ended."""
    sent, threads = [], []
    stopped_s = time.monotonic()
    front = rig.fleet.members['f1']
    front.process.send_signal(signal.SIGTERM)
    while front.is_running:
        for path in (LOOKUP_PATH, CALL_PATH):
            thread = threading.Thread(
                target=_call, args=(rig.fronts['f1'], path, sent, stopped_s)
            )
            thread.start()
            threads.append(thread)
        time.sleep(PERIOD_S)
    for thread in threads:
        thread.join()
    return sent


@pytest.mark.parametrize('work_ms', [2000, 3000, 4000])
def test_a_call_that_a_stopping_front_passed_on_is_answered(rig, work_ms):
    for name in ('d1', 'd2'):
        rig.fleet.control(name, work_ms=work_ms)
    sent = _call_while_it_stops(rig)
    ran = {run['request_id'] for run in rig.all_runs()}
    assert ran
    cut = [
        at_s
        for at_s, request_id, answer in sent
        if request_id in ran
        and not (
            answer.status in UNKNOWN or (answer.status == OK and answer.whole)
        )
    ]
    assert not cut, (len(cut), len(sent), cut)
    false = [
        request_id
        for _, request_id, answer in sent
        if answer.status == REFUSED and request_id in ran
    ]
    assert not false
