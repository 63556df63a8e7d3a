"""Many large answers at once, beside small calls."""

import threading
import time
from http import client
from pathlib import Path

import pytest

from celerywharf.adapters._responses import MAX_POOLED_BYTES
from celerywharf.fronts._callers import MAX_BACKLOG_BYTES
from celerywharf.units import KIBIBYTE
from standins.fronts import (
    ASK_PATH,
    CALL_PATH,
    PlatformRig,
    request_headers,
    send,
)
from standins.large_answers import LargeAnswers
from standins.serving import split_address

ANSWER_BYTES = 4_000_000
CALLERS = 50
SERVERS = 5
ASKED = 40
ASK_PERIOD_S = 0.05
AIM_S = 0.3
SLOW_PIECE_BYTES = 40_000
SLOW_PERIOD_S = 0.1
SLOW_PIECES = 40


@pytest.fixture
def rig(fleet):
    started = PlatformRig(fleet)
    desks = LargeAnswers(ANSWER_BYTES, SERVERS)
    for number, address in enumerate(desks.addresses):
        entry = {
            'service': 'desk',
            'address': address,
            'zone': 'north-1',
            'state': 'ready',
            'slots': 12,
        }
        started.put('servers', f'desk{number}', entry)
    started.add_server('n1', 'narrator')
    started.add_front('front')
    yield started
    desks.close()


# 48 of 50 purchases that had run lost their answers.
def test_large_answers_that_come_at_once_all_reach_their_callers(rig):
    address = rig.fronts['front']
    bought = []

    def buy():
        headers = request_headers()
        bought.append(send(address, CALL_PATH, headers=headers))

    callers = [threading.Thread(target=buy) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    asked = []
    for _ in range(ASKED):
        asked.append(send(address, ASK_PATH, headers=request_headers()))
        time.sleep(ASK_PERIOD_S)
    for caller in callers:
        caller.join()
    assert len(bought) == CALLERS
    assert {each.status for each in bought} == {200}
    assert {len(each.body) for each in bought} == {ANSWER_BYTES}
    assert {each.status for each in asked} == {200}
    slow_s = [each.took_s for each in asked if each.took_s > AIM_S]
    assert len(slow_s) <= ASKED / 10, slow_s


def _memory_kib(rig, field):
    front = rig.fleet.members['front']
    status = Path(f'/proc/{front.pid}/status').read_text()
    values = dict(line.split(':', 1) for line in status.splitlines())
    return int(values[field].split()[0])


def _buy_slowly(address):
    host, port = split_address(address)
    connection = client.HTTPConnection(host, port, timeout=10)
    connection.request('POST', CALL_PATH, b'{}', request_headers())
    response = connection.getresponse()
    for _ in range(SLOW_PIECES):
        response.read(SLOW_PIECE_BYTES)
        time.sleep(SLOW_PERIOD_S)
    connection.close()


# Answers that wait for slow callers to read them have no bound in sum.
def test_finished_answers_to_slow_callers_are_bounded_in_sum(rig):
    address = rig.fronts['front']
    began_kib = _memory_kib(rig, 'VmRSS')
    callers = [
        threading.Thread(target=_buy_slowly, args=(address,))
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    asked = [
        send(address, ASK_PATH, headers=request_headers()) for _ in range(ASKED)
    ]
    for caller in callers:
        caller.join()
    assert {each.status for each in asked} == {200}
    slow_s = [each.took_s for each in asked if each.took_s > AIM_S]
    assert len(slow_s) <= ASKED / 10, slow_s
    bound_bytes = MAX_POOLED_BYTES + CALLERS * MAX_BACKLOG_BYTES
    bound_kib = bound_bytes / KIBIBYTE
    assert _memory_kib(rig, 'VmHWM') - began_kib <= bound_kib
