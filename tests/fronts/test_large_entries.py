"""Many large rows beside the entries of servers, with real fronts."""

import functools
import secrets

import pytest

from standins.fronts import LOOKUP_PATH, PlatformRig, request_headers, send

FRONTS = {
    'f1': 'north-1',
    'f2': 'north-1',
    'f3': 'south-1',
    'f4': 'south-1',
}
ROWS = 60
ROW_BYTES = 60_000
FOUND_WITHIN_S = 3
READY_WITHIN_S = 12
MEMORY_KB = 150_000
CONTENTS = {
    'text': lambda noise: noise,
    'nested lists': lambda noise: '[' * len(noise) + noise[:16],
}


@pytest.fixture
def rig(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk')
    for name, zone in FRONTS.items():
        rig.add_front(name, zone=zone, shares=True)
    return rig


def peak_memory_kb(rig, name):
    process = rig.fleet.members[name].process
    with open(f'/proc/{process.pid}/status') as status:
        line = next(each for each in status if each.startswith('VmHWM'))
    return int(line.split()[1])


def uses_both_servers(rig, name):
    """Return whether requests to a front reach both servers."""
    ids = {secrets.token_hex(8) for _ in range(12)}
    for request_id in ids:
        headers = request_headers(Attempt_Id=request_id)
        send(rig.fronts[name], LOOKUP_PATH, headers=headers)
    return all(
        any(run['headers'].get('attempt-id') in ids for run in rig.runs(server))
        for server in ('d1', 'd2')
    )


# Fronts that read through another one never got the whole table of servers.
@pytest.mark.parametrize('kind', CONTENTS)
def test_fronts_beside_many_large_rows_stay_ready_and_start_again(rig, kind):
    for number in range(ROWS):
        content = CONTENTS[kind](secrets.token_hex(ROW_BYTES // 2))
        rig.put('servers', f'other-{number}', content)
    rig.add_server('d2', 'desk')
    not_found = rig.lacking(
        functools.partial(uses_both_servers, rig), FOUND_WITHIN_S
    )
    for name in FRONTS:
        rig.fleet.kill(name)
    for name in FRONTS:
        rig.fleet.restart_front(name)
    not_ready = rig.lacking(rig.is_ready, READY_WITHIN_S)
    assert (not_found, not_ready) == (set(), set())
    assert not rig.lacking(
        functools.partial(uses_both_servers, rig), FOUND_WITHIN_S
    )
    peaks = {name: peak_memory_kb(rig, name) for name in FRONTS}
    assert max(peaks.values()) < MEMORY_KB, peaks
