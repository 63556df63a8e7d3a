"""Silence of streams, by replay."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import EngineReport
from celerywharf.forwarding._silence import Sight, SilenceWatch, judge_report

scenarios('silence.feature')


@given(
    parsers.parse(
        'a stream that may pause {gap:g} s and got events at {events}'
    ),
    target_fixture='watch',
)
def _watch(gap, events):
    watch = SilenceWatch(gap, 0)
    if events != 'none':
        for at_s in map(float, events.split()):
            watch.event(at_s)
    return watch


@when(
    parsers.parse(
        'it is looked at after {now:g} s and its server was last alive at '
        '{alive:g} s',
    ),
    target_fixture='sight',
)
def _look(watch, now, alive):
    return watch.judge(now, alive)


@then(parsers.parse('it is {expected}'))
def _sight(sight, expected):
    assert sight is Sight(expected)


@then(parsers.parse('the next look is due at {due:g} s'))
def _due(watch, due):
    assert watch.due_s(0) == pytest.approx(due)


@given(
    parsers.parse(
        'an engine that reports {waiting:d} waiting, {prefilling:d} '
        'prefilling, answering {answering}',
    ),
    target_fixture='report',
)
def _report(waiting, prefilling, answering):
    return EngineReport(
        waiting=waiting,
        running=prefilling + 1,
        prefilling=prefilling,
        used_tokens=0,
        capacity_tokens=1,
        born_ms=1,
        answering=frozenset((answering,)),
    )


@then(parsers.parse('a stream named {name} without events is {expected}'))
def _judged(report, name, expected):
    assert judge_report(report, name) is Sight(expected)
