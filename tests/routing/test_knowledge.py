"""Age of the configuration, by replay."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.routing import (
    ClientLimits,
    Configuration,
    Knowledge,
    Sighting,
)

scenarios('knowledge.feature')


def make_configuration(version, **changes):
    fields = {
        'version': version,
        'routes': {},
        'services': {},
        'accounts': {},
        'keyed': True,
        'limits': ClientLimits(16384, 4194304, 3, 15),
    }
    return Configuration(**{**fields, **changes})


@given(
    parsers.parse('a host that may serve a revoked key for {lease:g} s'),
    target_fixture='knowledge',
)
def _knowledge(lease):
    return Knowledge(lease)


@when(
    parsers.parse(
        'the store answers a call sent at {sent:g} s at {received:g} s with '
        'its clock at {store:g} s',
    ),
)
def _answer(knowledge, sent, received, store):
    knowledge.confirm(Sighting(sent, received, store))


@when(
    parsers.parse(
        "a host passes on at {received:g} s what the store's clock said at "
        '{store:g} s',
    ),
)
def _passed_on(knowledge, received, store):
    knowledge.confirm(Sighting(received, received, store, relayed=True))


@when(parsers.parse('versions {versions} are offered'), target_fixture='taken')
def _offer(knowledge, versions):
    return sum(
        knowledge.offer(make_configuration(int(version)))
        for version in versions.split()
    )


@then(parsers.parse('version {version:d} is in force and {count:d} were new'))
def _in_force(knowledge, taken, version, count):
    assert knowledge.configuration.version == version
    assert taken == count


@then(parsers.parse('keys are accepted at {now:g} s'))
def _accepted(knowledge, now):
    assert knowledge.accepts_keys(now)


@then(parsers.parse('keys are refused at {now:g} s'))
def _refused(knowledge, now):
    assert not knowledge.accepts_keys(now)


@then(parsers.parse('the knowledge is from {moment:g} s'))
def _moment(knowledge, moment):
    assert knowledge.current_at_s == pytest.approx(moment)
