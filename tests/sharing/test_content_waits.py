"""What a host says of contents that do not come."""

from celerywharf.sharing._content_waits import (
    FIRST_REPORT_S,
    REPORT_PERIOD_S,
    ContentWaits,
)


def test_a_wait_for_contents_is_reported_once_in_a_period():
    waits = ContentWaits()
    assert not waits.lacks('servers', 6, 0).is_due(0)
    waits.failed('servers', 'gone')
    wait = waits.lacks('servers', 5, FIRST_REPORT_S)
    assert wait.is_due(FIRST_REPORT_S)
    assert (wait.missing, wait.failures, wait.reason) == (5, 1, 'gone')
    wait.reported_s = FIRST_REPORT_S
    assert not wait.is_due(FIRST_REPORT_S + REPORT_PERIOD_S / 2)
    assert wait.is_due(FIRST_REPORT_S + REPORT_PERIOD_S)
    assert waits.ended('servers') is wait
    assert waits.ended('servers') is None
