"""The choice of a zone's reader, by replay."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.sharing import Reader, ReaderChoice, Step
from celerywharf.structures import Address

scenarios('choice.feature')


def make_reader(name, version=0, key=b'now'):
    return Reader(Address(name, 1), key, version)


class Seen:
    """A front and what its last look came to."""

    def __init__(self, name):
        self.choice = ReaderChoice(make_reader(name), Random(3))
        self.readers = {}
        self.step = None

    def look(self, row, now):
        """Let the front see a row."""
        assert self.choice.due(now)
        self.step = self.choice.saw(row, now)


@given(parsers.parse('a front {name}'), target_fixture='seen')
def _front(name):
    return Seen(name)


@when(parsers.parse('it finds no row at {now:g} s'))
def _no_row(seen, now):
    seen.look(None, now)


@when(
    parsers.parse(
        'it finds the row of {name:w} with version {version:d} at {now:g} s',
    ),
)
def _row(seen, name, version, now):
    seen.readers[name] = make_reader(name, version)
    seen.look(seen.readers[name], now)


@when(
    parsers.parse(
        'it finds the row of an earlier f1 with version {version:d} at '
        '{now:g} s',
    ),
)
def _earlier(seen, version, now):
    seen.look(make_reader('f1', version, b'before'), now)


@when(
    parsers.parse(
        'it finds its own row with version {version:d} at {now:g} s',
    ),
)
def _own(seen, version, now):
    seen.look(make_reader('f1', version), now)


@when(parsers.parse('{name:w} does not answer at {now:g} s'))
def _fails(seen, name, now):
    assert seen.choice.failed(seen.readers[name], now)


@when(parsers.parse('{name:w} is said not to answer at {now:g} s'))
def _fails_late(seen, name, now):
    assert not seen.choice.failed(seen.readers[name], now)


@when(parsers.parse('others ask it until {until:d} s'))
def _asked(seen, until):
    for now in range(2, until + 1):
        seen.choice.asked(now)


@then('it takes over')
def _takes_over(seen):
    assert seen.step is Step.take_over
    assert seen.choice.reader is None


@then(parsers.parse('it asks {name:w}'))
def _asks(seen, name):
    assert seen.step is Step.ask
    assert seen.choice.reader is seen.readers[name]


@then('it reads for itself')
def _reads(seen):
    assert seen.choice.reader is None


@then('it does not look at the row again')
def _content(seen):
    assert seen.choice.look_at_s is None
    assert not seen.choice.due(1e9)


@then(parsers.parse('it looks at the row again before {now:g} s'))
def _looks(seen, now):
    assert seen.choice.due(now)


@then(parsers.parse('it need not look at the row at {now:g} s'))
def _need_not(seen, now):
    assert not seen.choice.due(now)


@then(parsers.parse('it polls for others at {now:g} s'))
def _serves(seen, now):
    assert seen.choice.serves(now)


@then(parsers.parse('it does not poll for others at {now:g} s'))
def _serves_none(seen, now):
    assert not seen.choice.serves(now)


@pytest.mark.parametrize('now', [0, 0.3])
def test_a_failed_look_is_repeated_soon(now):
    choice = ReaderChoice(make_reader('f1'), Random(3))
    choice.unknown(now)
    assert not choice.due(now)
    assert choice.due(now + 1)
