"""Placement of streams under load, simulated in virtual time."""

from pytest_bdd import given, parsers, scenarios, then, when

from bench.prompts import Load, simulate

scenarios('prompt_load.feature')

SEED = 1
DURATION_S = 20  # several times the length of a stream


@given(
    parsers.parse(
        '{fronts:d} fronts, {engines:d} engines of which {slow:d} are slow and '
        '{rate:g} streams a second',
    ),
    target_fixture='load',
)
def _load(fronts, engines, slow, rate):
    return Load(rate, engines, fronts, slow, DURATION_S)


@when("streams are placed by the product's policy", target_fixture='figures')
def _place(load):
    return simulate('ours', SEED, load)


@then(
    parsers.parse(
        'the 99th percentile of the time to the first event is at most '
        '{limit:g} s',
    ),
)
def _in_time(figures, limit):
    assert figures['p99_ms'] <= limit * 1000


@then(parsers.parse('a stream takes at most {probes:g} probes'))
def _probes(figures, probes):
    assert figures['probes_a_stream'] <= probes


@then(parsers.parse('the 99th percentile is lower than with {policy}'))
def _lower(figures, load, policy):
    assert figures['p99_ms'] < simulate(policy, SEED, load)['p99_ms']
