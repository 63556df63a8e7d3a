"""Documents about the room of engines."""

import pytest

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    decode_lease,
    decode_report,
    lease_demand,
    lease_release_path,
)

REPORT = b'{"queued": 0, "running": 2, "kvUsed": 9, "kvTotal": 99, "runs": %b}'


def test_the_name_of_a_lease_is_read():
    assert decode_lease(b'{"hold": "h-17"}') == 'h-17'


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'[]',
        b'{}',
        b'{"hold": null}',
        b'{"hold": ""}',
        b'{"hold": "a b"}',
        rb'{"hold": "a\r\nTenant: x"}',
        b'{"hold": "%b"}' % (b'h' * 201),
    ],
)
def test_an_odd_name_of_a_lease_is_an_error(text):
    with pytest.raises(ProtocolError):
        decode_lease(text)


def test_a_lease_is_asked_for_in_whole_milliseconds():
    assert lease_demand(9500, 0.5) == {'tokens': 9500, 'ttlMs': 500}


def test_the_name_of_a_lease_does_not_change_the_path_of_its_release():
    path = lease_release_path('../x?y')
    assert path == '/api/hold-drop/..%2Fx%3Fy'


@pytest.mark.parametrize(
    ('runs', 'events'),
    [
        (b'[]', {}),
        (b'[["a", 812, 9, 5], ["b", 40, 0, 5]]', {'a': 9, 'b': 0}),
        (b'[["a"], [], ["b", 1, "x"], ["c", 1, null]]', {}),
    ],
)
def test_events_of_runs_are_read_where_they_are_stated(runs, events):
    assert decode_report(REPORT % runs).events == events
