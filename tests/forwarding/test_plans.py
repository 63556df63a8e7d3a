"""Retry plans and budgets, by replay."""

from http import HTTPStatus

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.transports import HttpResponse
from celerywharf.forwarding import RetryBudget
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
LEFT_S = 10.0


def _outcome(word):
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
        'a request that is {policy} and may be sent to {most:d} servers'
    ),
    target_fixture='plan',
)
def _plan(policy, most):
    return RetryPlan(POLICIES[policy], most)


@when(parsers.parse('its sends end: {outcomes}'))
def _sends(plan, steps, outcomes):
    words = outcomes.split()
    for number, word in enumerate(words):
        steps.append(plan.after(_outcome(word), LEFT_S))
        if number < len(words) - 1:
            assert steps[-1] == SendAgain()


@when(parsers.parse('its sends end with {left:g} s left: {outcomes}'))
def _late_sends(plan, steps, left, outcomes):
    for word in outcomes.split():
        steps.append(plan.after(_outcome(word), left))


@when('no server is left')
def _nobody(plan, steps):
    assert steps[-1] == SendAgain()
    steps.append(plan.given_up('no backend server'))


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
            pytest.fail(f'not an end: {other}')


@given(
    parsers.parse(
        'a budget of {ratio:g} retries a request and {fixed:d} beside, '
        'over {window:d} s',
    ),
    target_fixture='budget',
)
def _budget(ratio, fixed, window):
    return RetryBudget(ratio, fixed, window)


@when(
    parsers.parse(
        '{count:d} requests of which each wants a retry come within {span:d} s',
    ),
    target_fixture='allowed',
)
def _storm(budget, count, span):
    allowed = 0
    for number in range(count):
        now_s = number * span / count
        budget.requested('service', now_s)
        allowed += budget.take('service', now_s)
    return allowed


@then(parsers.parse('{count:d} retries are allowed'))
def _allowed(allowed, count):
    assert allowed == count


@then(parsers.parse('after {later:d} s a retry is allowed again'))
def _again(budget, later):
    assert budget.take('service', later)


@when(parsers.parse('{count:d} retries were taken'))
def _taken(budget, count):
    assert all(budget.take('service', 0) for _ in range(count))


@then('a request is not retried')
def _not_retried(budget):
    assert not budget.take('service', 0)


@then(parsers.parse('a stream under way is, {count:d} times'))
def _under_way(budget, count):
    taken = [
        budget.take('service', 0, under_way=True) for _ in range(count + 1)
    ]
    assert taken == [*(True for _ in range(count)), False]


@then(parsers.parse('a silent send is {end}'))
def _silent(plan, end):
    assert plan.has_alternative == (end == 'given up')
