"""Freshness of the cached configuration, with given clock readings."""

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.routing import (
    AnswerTiming,
    ClientLimits,
    Configuration,
    ConfigurationCache,
)

scenarios('configuration_cache.feature')

DRIFT_S = 0.01
ROUNDING_S = 0.000001


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
    parsers.parse('a host that may accept a revoked key for {lease:g} s'),
    target_fixture='configuration_cache',
)
def _configuration_cache(lease):
    return ConfigurationCache(lease)


@when(
    parsers.parse(
        'a call sent at {sent:g} s is answered at {received:g} s with the '
        'store clock at {store:g} s',
    ),
)
def _answer(configuration_cache, sent, received, store):
    configuration_cache.confirm(AnswerTiming(sent, received, store))


@when(
    parsers.parse(
        'another host relays at {received:g} s an answer with the store clock '
        'at {store:g} s',
    ),
)
def _relayed(configuration_cache, received, store):
    configuration_cache.confirm(
        AnswerTiming(received, received, store, relayed=True)
    )


@when(
    parsers.parse('versions {versions} are offered'),
    target_fixture='installed',
)
def _offer(configuration_cache, versions):
    return sum(
        configuration_cache.offer(make_configuration(int(version)))
        for version in versions.split()
    )


@then(
    parsers.parse(
        'version {version:d} is in use and {count:d} versions were installed'
    ),
)
def _in_use(configuration_cache, installed, version, count):
    assert configuration_cache.configuration.version == version
    assert installed == count


@then(parsers.parse('keys are accepted at {now:g} s'))
def _accepted(configuration_cache, now):
    assert configuration_cache.accepts_keys(now)


@then(parsers.parse('keys are refused at {now:g} s'))
def _refused(configuration_cache, now):
    assert not configuration_cache.accepts_keys(now)


@then(parsers.parse('the configuration was last known current at {at:g} s'))
def _current_at(configuration_cache, at):
    # Later than the answer would accept revoked keys; clocks drift.
    assert at - DRIFT_S <= configuration_cache.current_at_s <= at + ROUNDING_S
