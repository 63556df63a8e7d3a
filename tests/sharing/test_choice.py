"""The election of a zone's reader, driven by given events and times."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.sharing import ElectionStep, Reader, ReaderElection
from celerywharf.structures import Address

scenarios('choice.feature')


def make_reader(name, version=0, key=b'now'):
    return Reader(Address(name, 1), key, version)


class FrontState:
    """A front and the result of its last check of the row."""

    def __init__(self, name):
        self.election = ReaderElection(make_reader(name), Random(3))
        self.readers = {}
        self.step = None

    def check(self, row, now):
        """Let the front read a row."""
        assert self.election.check_due(now)
        self.step = self.election.apply_row(row, now)


@given(parsers.parse('a front {name}'), target_fixture='front')
def _front(name):
    return FrontState(name)


@when(parsers.parse('it finds no row at {now:g} s'))
def _no_row(front, now):
    front.check(None, now)


@when(
    parsers.parse(
        'it finds the row of {name:w} with version {version:d} at {now:g} s',
    ),
)
def _row(front, name, version, now):
    front.readers[name] = make_reader(name, version)
    front.check(front.readers[name], now)


@when(
    parsers.parse(
        'it finds the row of an earlier f1 with version {version:d} at '
        '{now:g} s',
    ),
)
def _earlier(front, version, now):
    front.check(make_reader('f1', version, b'before'), now)


@when(
    parsers.parse(
        'it finds its own row with version {version:d} at {now:g} s',
    ),
)
def _own(front, version, now):
    front.check(make_reader('f1', version), now)


@when(parsers.parse('{name:w} does not answer at {now:g} s'))
def _fails(front, name, now):
    assert front.election.report_failure(front.readers[name], now)


@when(parsers.parse('a late failure of {name:w} is reported at {now:g} s'))
def _fails_late(front, name, now):
    assert not front.election.report_failure(front.readers[name], now)


@when(parsers.parse('other fronts send it requests until {until:d} s'))
def _gets_requests(front, until):
    for now in range(2, until + 1):
        front.election.record_request(now)


@then('it takes over')
def _takes_over(front):
    assert front.step is ElectionStep.take_over
    assert front.election.reader is None


@then(parsers.parse('it uses reader {name:w}'))
def _uses_reader(front, name):
    assert front.step is ElectionStep.ask
    assert front.election.reader is front.readers[name]


@then('it reads the store itself')
def _reads_store(front):
    assert front.election.reader is None


@then('it does not check the row again')
def _checks_no_more(front):
    assert front.election.next_check_s is None
    assert not front.election.check_due(1e9)


@then(parsers.parse('it checks the row again before {now:g} s'))
def _checks(front, now):
    assert front.election.check_due(now)


@then(parsers.parse('it does not check the row at {now:g} s'))
def _does_not_check(front, now):
    assert not front.election.check_due(now)


@then(parsers.parse('it polls as a reader at {now:g} s'))
def _polls(front, now):
    assert front.election.has_followers(now)


@then(parsers.parse('it does not poll as a reader at {now:g} s'))
def _does_not_poll(front, now):
    assert not front.election.has_followers(now)


@pytest.mark.parametrize('now', [0, 0.3])
def test_a_failed_check_is_repeated_soon(now):
    election = ReaderElection(make_reader('f1'), Random(3))
    election.postpone_check(now)
    assert not election.check_due(now)
    assert election.check_due(now + 1)
