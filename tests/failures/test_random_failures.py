"""A short form of the randomised failure run."""

from pytest_bdd import given, parsers, scenarios, then, when

from bench import failures

scenarios('random_failures.feature')


@given(
    parsers.parse('the failures of seed {seed:d} for {count:d} generations'),
    target_fixture='drawn',
)
def _drawn(seed, count):
    return seed, count


@when('they strike', target_fixture='figures')
def _strike(drawn):
    seed, count = drawn
    return failures.run(seed, [f'generations={count}'])


@then('no token is lost, repeated or mixed and every caller got an end')
def _passed(drawn, figures):
    assert figures['passed'], (drawn, figures)
    assert figures['generations'] == drawn[1]


@then('the seed gives the same failures again')
def _same(drawn):
    again = [_outline(one) for one in failures.plan(*drawn)]
    assert again == [_outline(one) for one in failures.plan(*drawn)]


def _outline(planned):
    return planned.policy, planned.names, planned.fault_s, planned.routes
