"""Detection of silent streams, with given event times."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import EngineReport
from celerywharf.forwarding._silence import (
    Liveness,
    SilenceDetector,
    assess_report,
)

scenarios('silence.feature')


@given(
    parsers.parse(
        'a stream with a gap target of {gap:g} s and events at {events}'
    ),
    target_fixture='detector',
)
def _detector(gap, events):
    detector = SilenceDetector(gap, 0)
    if events != 'none':
        for at_s in map(float, events.split()):
            detector.record_event(at_s)
    return detector


@when(parsers.parse('the engine reports at {at:g} that it works on the stream'))
def _reports(detector, at):
    detector.record_report(at)


@when(parsers.parse('this host wakes at {at:g} after it did not run'))
def _wakes(detector, at):
    detector.excuse(at)


@when(parsers.parse('this host does not read it until {until:g}'))
def _rests(detector, until):
    detector.rest(until)


@when(parsers.parse("the engine's next event arrives at {at:g}"))
def _event(detector, at):
    detector.record_event(at)


@when(parsers.parse('the send is kept at {at:g} for want of another'))
def _kept(detector, at):
    detector.postpone(at)


@when(
    parsers.parse(
        'it is checked at {now:g} s and its server last responded at '
        '{alive:g} s',
    ),
    target_fixture='liveness',
)
def _check(detector, now, alive):
    return detector.assess(now, alive)


@then(parsers.parse('it is {expected}'))
def _liveness(liveness, expected):
    assert liveness is Liveness(expected)


@then(parsers.parse('the silence limit expires at {expires_at:g} s'))
def _expires_at(detector, expires_at):
    assert detector.expires_at_s(0) == pytest.approx(expires_at)


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
def _assessed(report, name, expected):
    assert assess_report(report, name) is Liveness(expected)
