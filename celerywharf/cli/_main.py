"""celerywharf: a serving system for long generations on engines that fail.

Usage:
  celerywharf <command> [<arguments>...]
  celerywharf (-h | --help)
  celerywharf --version

Commands:
  serve       Run an entry host.
  front       Run a front on the users' platform.
  config      Check settings and configurations, print the settings reference.
  table       Read and change the shared table.
  account     Manage client accounts and their keys.
  service     Manage the services that callers can request.
  backend     Manage backend servers.
  host        List and drain entry hosts.
  status      Show the status of a host and the table revision at all hosts.
  quarantine  List and release requests that fronts keep from engines.
  rollout     List services that move to another software version.
  timeline    Show the events of all processes.
  usage       Show the resources used by each client account.
  explain     Show what log files contain about a request.
  version     Print the version.

See 'celerywharf <command> --help'.

Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 invalid settings,
4 host or platform unreachable, 5 a row was changed concurrently.
"""

from __future__ import annotations

import importlib
import json
import signal
import sys
from collections.abc import Sequence

from docopt import DocoptExit, docopt

from celerywharf import __version__
from celerywharf.cli._exits import ExitCode, exit_code
from celerywharf.exceptions import CelerywharfError

COMMANDS = {
    'timeline': 'celerywharf.cli._timeline',
    'usage': 'celerywharf.cli._usage',
    'explain': 'celerywharf.cli._explain',
    'serve': 'celerywharf.cli._serve',
    'front': 'celerywharf.cli._front',
    'config': 'celerywharf.cli._config',
    'table': 'celerywharf.cli._table',
    'account': 'celerywharf.cli._account',
    'service': 'celerywharf.cli._service',
    'backend': 'celerywharf.cli._backend',
    'host': 'celerywharf.cli._host',
    'status': 'celerywharf.cli._status',
    'quarantine': 'celerywharf.cli._quarantine',
    'rollout': 'celerywharf.cli._rollout',
    'version': 'celerywharf.cli._version',
}

RELOADING_COMMANDS = frozenset(('front',))  # reload settings on SIGHUP


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return the exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        return _run(arguments)
    except DocoptExit as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.usage
    except CelerywharfError as error:
        _print_error(error.message)
        current = getattr(error, 'current', None)
        if current is not None:
            _print_error(f'current row: {json.dumps(current)}')
        return exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.failed


def _run(arguments: Sequence[str]) -> int:
    options = docopt(
        __doc__,
        argv=arguments,
        version=__version__,
        options_first=True,
    )
    command = options['<command>']
    if command not in COMMANDS:
        valid_commands = ', '.join(COMMANDS)
        _print_error(f'unknown command {command!r}; one of: {valid_commands}')
        return ExitCode.usage
    if command in RELOADING_COMMANDS:
        # A SIGHUP that arrives before the command has installed its handler
        # would otherwise end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return importlib.import_module(COMMANDS[command]).run(arguments)


def _print_error(message: str) -> None:
    for line in message.splitlines():
        sys.stderr.write(f'celerywharf: {line}\n')
