"""Fronts whose zone loses its reader, beside rows of other writers."""

import secrets
import time

import pytest

from standins.calls import call
from standins.fronts import PlatformRig

FRONTS = ('f1', 'f2', 'f3')
ZONE = 'north-1'
ROWS = 60
ROW_BYTES = 60_000
KNOWN_AFTER_S = 5
LASTS_S = 5


@pytest.fixture
def rig(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk')
    for name in FRONTS:
        rig.add_front(name, zone=ZONE, shares=True)
    return rig


# The next reader was not ready until it had read all rows.
def test_fronts_stay_ready_while_a_new_reader_reads_origins_of_streams(rig):
    for number in range(ROWS):
        rig.put('origins', f'a{number}', secrets.token_hex(ROW_BYTES // 2))
    time.sleep(KNOWN_AFTER_S)
    lost = rig.content('readers', ZONE)['host']
    rig.fleet.kill(lost)
    refused = []
    ends_s = time.monotonic() + LASTS_S
    while time.monotonic() < ends_s:
        for name in FRONTS:
            if name == lost:
                continue
            status, answer = call(rig.health[name], 'GET', '/api/ready')
            if status != 200:
                refused.append((name, answer))
        time.sleep(0.01)
    assert rig.content('readers', ZONE)['host'] != lost
    assert not refused
