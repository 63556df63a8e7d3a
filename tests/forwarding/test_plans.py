"""Retry plans and retry budgets, with given outcomes and times."""

from http import HTTPStatus

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.transports import HttpResponse
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Refused,
)
from celerywharf.forwarding._plans import (
    Done,
    Fail,
    PassOn,
    RetryPlan,
    SendAgain,
)
from celerywharf.platform import read_answer_headers
from celerywharf.routing import (
    Idempotent,
    NonIdempotent,
    ResumableStream,
    SingleStream,
)

scenarios('plans.feature')

POLICIES = {
    'idempotent': Idempotent(),
    'non-idempotent': NonIdempotent(),
    'single stream': SingleStream(),
    'stream': ResumableStream(0.7),
}
REMAINING_S = 10.0


def _make_outcome(word):
    kind, _, status = word.partition('-')
    if kind == 'answered':
        headers = read_answer_headers({})
        return Answered(HttpResponse(int(status), {}, b''), headers)
    return {
        'refused': Refused('full', reached=True),
        'unreached': Refused('no connection', reached=False),
        'lost': Lost('reset'),
        'finished': Finished(),
    }[kind]


@pytest.fixture
def steps():
    return []


@given(
    parsers.parse(
        'a request that is {policy} and may be sent to {attempts:d} servers'
    ),
    target_fixture='plan',
)
def _plan(policy, attempts):
    return RetryPlan(POLICIES[policy], attempts)


@when(parsers.parse('its sends end: {outcomes}'))
def _sends(plan, steps, outcomes):
    words = outcomes.split()
    for number, word in enumerate(words):
        steps.append(plan.next_step(_make_outcome(word), REMAINING_S))
        if number < len(words) - 1:
            assert steps[-1] == SendAgain()


@when(parsers.parse('its sends end with {remaining:g} s left: {outcomes}'))
def _late_sends(plan, steps, remaining, outcomes):
    for word in outcomes.split():
        steps.append(plan.next_step(_make_outcome(word), remaining))


@when('no other server is available')
def _no_server(plan, steps):
    assert steps[-1] == SendAgain()
    steps.append(plan.give_up('no backend server available'))


@then(parsers.parse('the caller gets {end}'))
def _end(steps, end):
    match steps[-1]:
        case Done():
            assert end == 'done'
        case PassOn(response=response):
            assert str(response.status) == end
        case Fail(status=status):
            assert status == HTTPStatus(int(end))
        case other:
            pytest.fail(f'not a final step: {other}')


@then(parsers.parse('a silent send is {end}'))
def _silent(plan, end):
    assert plan.has_alternative == (end == 'ended')
