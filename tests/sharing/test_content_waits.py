"""What a host says of contents that do not come."""

from celerywharf.sharing._content_waits import (
    FIRST_REPORT_S,
    MAX_FAILURES,
    MAX_REPLACED_WAIT_S,
    MAX_WAIT_S,
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


def test_contents_that_the_reader_lacks_are_given_up():
    waits = ContentWaits()
    waits.lacks('servers', 6, 0)
    for _ in range(MAX_FAILURES - 1):
        waits.failed('servers', 'gone')
    assert waits.give_up('servers', MAX_WAIT_S) is None
    waits.failed('servers', 'gone')
    assert waits.give_up('servers', MAX_WAIT_S / 2) is None
    assert waits.give_up('servers', MAX_WAIT_S).reason == 'gone'
    assert waits.give_up('servers', MAX_WAIT_S) is None


def test_contents_that_are_replaced_all_the_time_are_given_up_later():
    waits = ContentWaits()
    waits.lacks('servers', 6, 0)
    for _ in range(9):
        waits.replaced('servers')
    assert waits.give_up('servers', MAX_WAIT_S) is None
    assert waits.give_up('servers', MAX_REPLACED_WAIT_S) is not None


def test_a_transfer_that_goes_on_is_not_given_up():
    waits = ContentWaits()
    waits.lacks('op', 1, 0)
    assert waits.give_up('op', 2 * MAX_REPLACED_WAIT_S) is None
