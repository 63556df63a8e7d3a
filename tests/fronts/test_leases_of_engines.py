"""Leases of room, with processes: streams take one before they are sent."""

import pytest

from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

EVENTS = 5
TOKENS = f'100,{EVENTS * 7}'
LEASE_MS = 2000
STREAMS = 3
OK = 200


@pytest.fixture
def rig(fleet):
    started = PlatformRig(fleet)
    started.lease_ms = LEASE_MS
    started.configure()
    return started


def _stream(rig):
    answer = send(
        rig.fronts['front'],
        STREAM_PATH,
        headers=request_headers(Token_Count=TOKENS),
    )
    assert answer.status == OK
    assert answer.events == list(range(1, EVENTS + 1))


def _leases_of_runs(rig, name):
    return [run['headers'].get('hold') for run in rig.runs(name)]


def test_each_stream_carries_a_lease_of_its_own(rig):
    rig.add_server('e1', 'narrator', rooms=1)
    rig.add_front('front')
    for _ in range(STREAMS):
        _stream(rig)
    leases = _leases_of_runs(rig, 'e1')
    assert None not in leases
    assert len(set(leases)) == STREAMS


def test_an_engine_without_the_interface_serves_streams_without_leases(rig):
    rig.add_server('e1', 'narrator')
    rig.add_front('front')
    for _ in range(STREAMS):
        _stream(rig)
    assert _leases_of_runs(rig, 'e1') == [None for _ in range(STREAMS)]


def test_a_stream_goes_to_the_next_engine_if_its_lease_was_forgotten(rig):
    rig.add_server('e1', 'narrator', rooms=1, forgetful=True)
    rig.add_server('e2', 'narrator', 'north-2', rooms=1)
    rig.add_front('front')
    _stream(rig)
    assert not rig.runs('e1')
    assert len(_leases_of_runs(rig, 'e2')) == 1


def test_a_stream_is_sent_without_a_lease_if_no_engine_grants_one(rig):
    rig.add_server('e1', 'narrator', rooms=0)
    rig.add_server('e2', 'narrator', 'north-2', rooms=0)
    rig.add_front('front')
    _stream(rig)
    runs = _leases_of_runs(rig, 'e1') + _leases_of_runs(rig, 'e2')
    assert runs == [None]
