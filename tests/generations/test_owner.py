"""Decisions of a generation's owner, replayed from traces."""

from pytest_bdd import parsers, scenarios, then, when
from traces import replay

from celerywharf.generations.messages import (
    CancelAttempt,
    ChooseReplica,
    Deliver,
    Reattach,
    StartAttempt,
)
from standins.checking import (
    Findings,
    Received,
    ReceivedToken,
    RecordedRun,
    check,
)

scenarios('owner.feature')


@when(
    parsers.parse('the trace "{name}" is replayed'),
    target_fixture='outcome',
)
def _replayed(name):
    return replay(name)


@then(parsers.re('the caller got "(?P<text>.*)" and the end "(?P<end>.*)"'))
def _delivered(outcome, text, end):
    assert ' '.join(outcome.delivered) == text
    assert outcome.ended == end


@then(parsers.parse('{count:d} attempts were started'))
def _started(outcome, count):
    assert len(outcome.started()) == count


@then(parsers.re('attempts "(?P<text>.*)" were cancelled'))
def _cancelled(outcome, text):
    assert ' '.join(outcome.cancelled()) == text


@then(parsers.parse('{count:d} tokens were dropped'))
def _dropped(outcome, count):
    assert outcome.logic.attempts.dropped == count


@then(
    parsers.parse(
        'attempt {number:d} was cancelled between {low:f} and {high:f} seconds',
    ),
)
def _cancelled_at(outcome, number, low, high):
    (at_s,) = [
        now
        for now, action in outcome.actions
        if isinstance(action, CancelAttempt) and action.attempt == number
    ]
    assert low <= at_s <= high


@then(parsers.re('attempt (?P<number>.*) excluded "(?P<names>.*)"'))
def _excluded(outcome, number, names):
    (started,) = [
        action
        for action in outcome.of_type(StartAttempt)
        if action.attempt == int(number)
    ]
    assert started.exclude == frozenset(names.split())


@then(
    parsers.parse(
        'token {count:d} was first delivered between '
        '{low:f} and {high:f} seconds',
    ),
)
def _first_delivered(outcome, count, low, high):
    at_s = min(
        now
        for now, action in outcome.actions
        if isinstance(action, Deliver) and action.offset >= count
    )
    assert low <= at_s <= high


@then(parsers.parse('replicas were chosen without {names}'))
def _chosen(outcome, names):
    expected = [name.strip(' "') for name in names.split(',')]
    chosen = [
        ' '.join(action.exclude) for action in outcome.of_type(ChooseReplica)
    ]
    assert chosen == expected


@then(parsers.parse('the first attempt {how} "{name}"'))
def _first(outcome, how, name):
    first = outcome.started()[0]
    assert isinstance(first, Reattach) == (how == 'reattaches')
    if how == 'reattaches':
        assert first.backend_server == name
        assert (first.old_epoch, first.old_attempt) == (7, 3)


@then(parsers.parse('{count:d} tokens were delivered and the end "{end}"'))
def _count(outcome, count, end):
    assert (len(outcome.delivered), outcome.ended) == (count, end)


@then("every token is in the engines' own records")
def _explained(outcome):
    tokens = [
        ReceivedToken(1, offset, token)
        for offset, token in enumerate(outcome.delivered)
    ]
    runs = [
        RecordedRun('g', tuple(run['prefix']), tuple(run['tokens']))
        for run in outcome.runs
    ]
    assert runs
    assert check(Received('g', tokens, len(tokens)), runs) == Findings()
