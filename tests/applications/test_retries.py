"""Replays of attempts through the retry and ejection logic."""

import random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.applications._ejection import EjectionLogic
from celerywharf.applications._idempotency import is_idempotent
from celerywharf.applications._retries import (
    Answered,
    Deliver,
    Failed,
    GiveUp,
    RetryBudget,
    RetryLogic,
    Send,
    Started,
)
from celerywharf.structures import Verdict
from celerywharf.tables import Service, ServiceKind

scenarios('retries.feature')

DEADLINE_S = 30
SERVICE = Service(
    'shop',
    ServiceKind.application,
    idempotent_paths=('/lookups',),
)


@given(
    parsers.re('a call that (?P<may>may|may not) be repeated'),
    target_fixture='make_retry_logic',
)
def make_logic(may):
    budget = RetryBudget()
    return lambda: RetryLogic(
        idempotent=may == 'may',
        deadline_s=DEADLINE_S,
        budget=budget,
        generator=random.Random(1),
    )


@when(parsers.parse('its attempts end: {outcomes}'), target_fixture='ended')
def end_attempts(make_retry_logic, outcomes):
    logic = make_retry_logic()
    action = logic.decide(Started(), 0)
    words = outcomes.split()
    while isinstance(action, Send):
        word = words.pop(0)
        now = DEADLINE_S if word == 'late' else 0
        if word.isdigit():
            message = Answered(int(word))
        else:
            known = 'not_run' if word == 'late' else word
            message = Failed(Verdict(known))
        action = logic.decide(message, now)
    assert not words
    return logic, action


@then(parsers.parse('{attempts:d} were made and the caller gets {end}'))
def verify_end(ended, attempts, end):
    logic, action = ended
    expected = Deliver() if end == 'answer' else None
    assert action == (expected or GiveUp(Verdict(end)))
    assert logic.attempts == attempts


@when('5000 calls fail in every attempt', target_fixture='ratio')
def storm(make_retry_logic):
    attempts = 0
    for _ in range(5000):
        logic = make_retry_logic()
        action = logic.decide(Started(), 0)
        while isinstance(action, Send):
            action = logic.decide(Failed(Verdict.may_have_run), 0)
        attempts += logic.attempts
    return attempts / 5000


@then('attempts stay below 1.2 per call')
def verify_ratio(ratio):
    assert ratio == pytest.approx(1.15, abs=0.04)


@then(parsers.re(r'(?P<method>[A-Z]+) (?P<path>\S+) (?P<may>.*) be repeated'))
def verify_path(method, path, may):
    assert is_idempotent(SERVICE, method, path) is (may == 'may')


@then('outcomes at times give')
def replay_ejection(datatable):
    logic = EjectionLogic()
    for at, event, ejected in datatable[1:]:
        now = float(at)
        if event == 'started':
            logic.started('b', now)
        elif event != 'none':
            logic.ended('b', failed=event == 'failed', now=now)
        seen = 'yes' if 'b' in logic.ejected(now) else 'no'
        assert (at, seen) == (at, ejected)


def test_full_jitter_stays_below_its_ceiling():
    logic = RetryLogic(
        idempotent=True,
        deadline_s=DEADLINE_S,
        budget=RetryBudget(),
        generator=random.Random(7),
    )
    logic.decide(Started(), 0)
    delays = [
        logic.decide(Failed(Verdict.not_run), 0).delay_s for _ in range(4)
    ]
    ceilings = [0.02, 0.04, 0.08, 0.16]
    assert all(
        0 <= delay <= ceiling
        for delay, ceiling in zip(delays, ceilings, strict=True)
    )
    assert delays != pytest.approx(ceilings)
