"""Calls whose servers fall silent for a moment while retries are scarce."""

import secrets
import threading
import time

import pytest

from standins.fronts import LOOKUP_PATH, PlatformRig, request_headers, send

DESKS = ('d1', 'd2', 'd3')
CALLERS = 12
SILENT_S = 1.2
SPEAKS_S = 1.5
ROUNDS = 3
OK = 200


def _call(address, ends_s, answers):
    while time.monotonic() < ends_s:
        headers = request_headers(Deadline_Ms='1500')
        body = secrets.token_bytes(9)
        answers.append(send(address, LOOKUP_PATH, body=body, headers=headers))
        time.sleep(0.05)


@pytest.mark.parametrize('silent', [DESKS[1:], DESKS], ids=['two', 'all'])
@pytest.mark.parametrize('slack', [0, 150])
def test_a_lookup_at_a_silent_server_is_not_given_up_for_want_of_a_retry(
    fleet, slack, silent
):
    rig = PlatformRig(fleet)
    for name in DESKS:
        rig.add_server(name, 'desk', work_ms=30)
    rig.add_front('f1', retry_ratio=0.01, retry_slack=slack)
    answers = []
    ends_s = time.monotonic() + ROUNDS * (SILENT_S + SPEAKS_S)
    callers = [
        threading.Thread(target=_call, args=(rig.fronts['f1'], ends_s, answers))
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for _ in range(ROUNDS):
        time.sleep(SPEAKS_S)
        for name in silent:
            fleet.pause(name)
        time.sleep(SILENT_S)
        for name in silent:
            fleet.resume(name)
    for caller in callers:
        caller.join()
    failed = [answer for answer in answers if answer.status != OK]
    assert len(answers) > CALLERS
    assert not failed, (len(failed), len(answers), failed[0])
