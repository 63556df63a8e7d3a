"""Tests that the checker finds planted faults."""

from pytest_bdd import given, parsers, scenarios, then, when

from standins.checking import (
    Findings,
    Received,
    ReceivedToken,
    check,
    read_runs,
)

scenarios('checking.feature')


def make_run(nonce, prefix, generation='g'):
    tokens = [f'{nonce}{offset}' for offset in range(len(prefix), 6)]
    return {'generation': generation, 'prefix': prefix, 'tokens': tokens}


@given(
    'a generation of 6 tokens with runs A, B, C and D', target_fixture='runs'
)
def record_runs():
    recorded = [
        make_run('A', []),
        make_run('B', ['A0', 'A1', 'A2']),
        make_run('C', ['A0', 'A1', 'X2']),
        make_run('D', ['D0', 'D1', 'D2']),
        make_run('X', [], generation='other'),
    ]
    return read_runs([{'runs': recorded}])


@when(
    parsers.parse('a caller receives {tokens} and the end {end}'),
    target_fixture='received',
)
def receive(tokens, end):
    received = Received('g', total=None if end == 'none' else int(end))
    for token_spec in tokens.split():
        token, _, epoch = token_spec.partition('@')
        arrived = ReceivedToken(int(epoch or 1), int(token[1:]), token)
        received.tokens.append(arrived)
    return received


@then(
    parsers.parse(
        'the check finds {lost:d} lost, {repeated:d} repeated, {mixed:d} mixed',
    ),
)
def check_findings(received, runs, lost, repeated, mixed):
    unfinished = int(received.total is None)
    expected = Findings(lost, repeated, mixed, unfinished)
    assert check(received, runs) == expected
