"""Streams at the only other front, which falls silent for a moment."""

import secrets
import threading
import time

from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

STREAMS = 6
EVENTS = 150
SETTLES_S = 0.5
SILENT_S = 1.2


def _call(address, answers):
    headers = request_headers(Token_Count=f'60,{EVENTS * 7}')
    body = secrets.token_bytes(9)
    answers.append(send(address, STREAM_PATH, body=body, headers=headers))


def test_a_stream_at_a_silent_front_is_not_given_up_without_another_front(
    fleet,
):
    rig = PlatformRig(fleet)
    rig.add_server('e1', 'narrator')
    rig.add_server('e2', 'narrator')
    for front in ('f1', 'f2'):
        rig.add_front(front, shares=True, module='standins.cut_fronts')
    time.sleep(SETTLES_S)
    fleet.cut('f1', 'refuse', list(rig.servers.values()))
    time.sleep(SETTLES_S)
    answers = []
    callers = [
        threading.Thread(target=_call, args=(rig.fronts['f1'], answers))
        for _ in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(1)
    fleet.pause('f2')
    time.sleep(SILENT_S)
    fleet.resume('f2')
    for caller in callers:
        caller.join()
    cut = [
        (answer.status, len(answer.events))
        for answer in answers
        if len(answer.events) < EVENTS
    ]
    assert not cut, cut
