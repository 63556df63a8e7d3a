"""A short run of the randomised failures of `bench.failures`."""

from pytest_bdd import given, parsers, scenarios, then, when

from bench import failures

scenarios('random_failures.feature')


@given(
    parsers.parse('the failures of seed {seed:d} for {count:d} generations'),
    target_fixture='inputs',
)
def _inputs(seed, count):
    return seed, count


@when('the failures are injected', target_fixture='report')
def _run(inputs):
    seed, count = inputs
    return failures.run(seed, [f'generations={count}'])


@then('no token is lost, repeated or mixed and every caller got an end')
def _passed(inputs, report):
    assert report['passed'], (inputs, report)
    assert report['generations'] == inputs[1]


@then('the same seed gives the same failures')
def _same_plan(inputs):
    rounds = [_comparable(planned) for planned in failures.plan(*inputs)]
    assert rounds == [
        _comparable(planned) for planned in failures.plan(*inputs)
    ]


def _comparable(planned):
    return planned.policy, planned.names, planned.fault_s, planned.routes
