"""Merging of histograms, and the text exposition."""

import pytest
from prometheus_client import CollectorRegistry, generate_latest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.metrics import Metrics, merge
from celerywharf.metrics._exposition import Collector

scenarios('metrics.feature')


@pytest.fixture
def hosts():
    return {'a': Metrics(), 'b': Metrics()}


@given(
    parsers.parse('host {name} with {count:d} claims of {milliseconds:d} ms')
)
def _claims(hosts, name, count, milliseconds):
    for _ in range(count):
        hosts[name].observe('claim', milliseconds / 1000)


@given(parsers.parse('host {name} counted {count:d} retries for "{service}"'))
def _retries(hosts, name, count, service):
    hosts[name].count('retries', count, service=service)


@when("the hosts' metrics are merged", target_fixture='merged')
def _merge(hosts):
    return merge(metrics.snapshot() for metrics in hosts.values())


@when('the exposition of host a is read', target_fixture='lines')
def _expose(hosts):
    registry = CollectorRegistry()
    registry.register(Collector(hosts['a']))
    return generate_latest(registry).decode().splitlines()


@then(
    parsers.parse(
        'the merged claim p{percent:d} is between {low:g} and {high:g} ms'
    )
)
def _percentile(merged, percent, low, high):
    micros = merged.histograms['claim'].get_value_at_percentile(percent)
    assert low <= micros / 1000 <= high


@then(parsers.parse('it contains the line "{line}"'))
def _line(lines, line):
    assert line in lines
