"""Help texts, error lines and exit codes of the commands."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from celerywharf.cli import main

scenarios('commands.feature')


@when(
    parsers.parse('celerywharf {command} --help is run'),
    target_fixture='printed',
)
def _help(command, capsys):
    with pytest.raises(SystemExit):
        main([command, '--help'])
    return capsys.readouterr().out


@then(parsers.parse('it prints the usage of {command}'))
def _usage(printed, command):
    assert f'Usage:\n  celerywharf {command}' in printed


@when(
    parsers.parse('celerywharf is called with {arguments}'),
    target_fixture='outcome',
)
def _run(arguments, capsys, monkeypatch):
    monkeypatch.setenv('CELERYWHARF_OPERATOR_KEY', 'a-key-of-operators')
    code = main(arguments.split())
    return code, capsys.readouterr().err.splitlines()


@then(parsers.parse('it exits with {code:d} and prints the error "{message}"'))
def _exits(outcome, code, message):
    assert outcome[0] == code
    assert len(outcome[1]) == 1
    assert message in outcome[1][0]
