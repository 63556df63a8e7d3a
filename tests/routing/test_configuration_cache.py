"""Age of the configuration, by replay."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.routing import (
    AnswerTiming,
    ClientLimits,
    Configuration,
    ConfigurationCache,
)

scenarios('configuration_cache.feature')


def make_configuration(version, **changes):
    fields = {
        'version': version,
        'routes': {},
        'services': {},
        'accounts': {},
        'keys_required': True,
        'limits': ClientLimits(16384, 4194304, 3, 15),
    }
    return Configuration(**{**fields, **changes})


@given(
    parsers.parse('a host that may serve a revoked key for {lease:g} s'),
    target_fixture='configuration_cache',
)
def _knowledge(lease):
    return ConfigurationCache(lease)


@when(
    parsers.parse(
        'the store answers a call sent at {sent:g} s at {received:g} s with '
        'its clock at {store:g} s',
    ),
)
def _answer(configuration_cache, sent, received, store):
    configuration_cache.confirm(AnswerTiming(sent, received, store))


@when(
    parsers.parse(
        "a host passes on at {received:g} s what the store's clock said at "
        '{store:g} s',
    ),
)
def _passed_on(configuration_cache, received, store):
    configuration_cache.confirm(
        AnswerTiming(received, received, store, relayed=True)
    )


@when(parsers.parse('versions {versions} are offered'), target_fixture='taken')
def _offer(configuration_cache, versions):
    return sum(
        configuration_cache.offer(make_configuration(int(version)))
        for version in versions.split()
    )


@then(parsers.parse('version {version:d} is in force and {count:d} were new'))
def _in_force(configuration_cache, taken, version, count):
    assert configuration_cache.configuration.version == version
    assert taken == count


@then(parsers.parse('keys are accepted at {now:g} s'))
def _accepted(configuration_cache, now):
    assert configuration_cache.accepts_keys(now)


@then(parsers.parse('keys are refused at {now:g} s'))
def _refused(configuration_cache, now):
    assert not configuration_cache.accepts_keys(now)


@then(parsers.parse('the knowledge is from {moment:g} s'))
def _moment(configuration_cache, moment):
    assert configuration_cache.current_at_s == pytest.approx(moment)
