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


def _wait_until_it_ends(front, limit_s):
    deadline_s = time.monotonic() + limit_s
    while front.is_running and time.monotonic() < deadline_s:
        time.sleep(0.02)
    return not front.is_running


@pytest.mark.parametrize('path', [LOOKUP_PATH, CALL_PATH])
def test_a_repeated_sigterm_cuts_no_call(rig, path):
    for name in ('d1', 'd2'):
        rig.fleet.control(name, work_ms=1500)
    sent = []
    call = threading.Thread(
        target=_call, args=(rig.fronts['f1'], path, sent, time.monotonic())
    )
    call.start()
    front = rig.fleet.members['f1']
    for _ in range(3):
        time.sleep(0.2)
        front.process.send_signal(signal.SIGTERM)
        front.process.send_signal(signal.SIGHUP)
    call.join()
    assert sent[0][-1].status == OK
    assert _wait_until_it_ends(front, GRACE_S)


def test_calls_that_outlast_a_short_grace_time_get_a_true_answer(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk', work_ms=4000)
    rig.add_front('f1', grace_s=2)
    sent = []
    calls = [
        threading.Thread(
            target=_call, args=(rig.fronts['f1'], path, sent, time.monotonic())
        )
        for path in (LOOKUP_PATH, CALL_PATH) * 20
    ]
    for call in calls:
        call.start()
    time.sleep(1)
    front = rig.fleet.members['f1']
    front.process.send_signal(signal.SIGTERM)
    assert _wait_until_it_ends(front, 2)
    for call in calls:
        call.join()
    assert len(sent) == len(calls)
    answers = [each[2] for each in sent]
    untrue = [answer for answer in answers if answer.status not in UNKNOWN]
    assert not untrue, (len(untrue), untrue[0])


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_to_a_front_that_has_stopped_changes_no_exit_code(rig, number):
    front = rig.fleet.members['f1']
    front.process.send_signal(signal.SIGTERM)
    output = rig.fleet.folder / 'f1.out'
    while '"message": "stopped"' not in output.read_text():
        assert front.is_running
    while front.is_running:
        front.process.send_signal(number)
        time.sleep(0.005)
    assert front.process.wait() == 0
