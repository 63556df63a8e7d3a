"""Parsing of callers' headers."""

from pytest_bdd import parsers, scenarios, then, when

from celerywharf.platform import read_request_headers

scenarios('headers.feature')


def _shared_parts(header):
    return read_request_headers([('Prompt-Prefix', header)]).shared_parts


@when(
    parsers.re('a request has the prompt parts "(?P<header>[^"]*)"'),
    target_fixture='shared',
)
def _has_parts(header):
    return _shared_parts(header)


@when(
    'a request has prompt parts with names of 5000 characters',
    target_fixture='shared',
)
def _has_long_names():
    names = [character * 5000 for character in 'abc']
    return _shared_parts(','.join(f'{name}:10' for name in names))


@then(parsers.re('the shared parts are "(?P<expected>[^"]*)"'))
def _are(shared, expected):
    assert list(shared) == expected.split()


@then('each shared part has a name of 64 characters')
def _short(shared):
    assert {len(name) for name in shared} == {64}


@then('different names stay different')
def _different(shared):
    assert len(shared) == len(set(shared)) == 2
