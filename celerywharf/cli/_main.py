"""celerywharf: serving long generations on engines that fail.

Usage:
  celerywharf <command> [<arguments>...]
  celerywharf (-h | --help)
  celerywharf --version

Commands:
  serve      Run an entry host.
  front      Run a front on the users' platform.
  config     Check a settings file.
  table      Read and change the shared table.
  account    Client accounts and their keys.
  service    What callers can ask for.
  backend    Backend servers.
  host       Entry hosts.
  status     A host, and the table's revision at all hosts.
  timeline   What happened, over all processes.
  usage      What each client account cost.
  explain    The story of a request, from log files.
  version    Print the version.

See 'celerywharf <command> --help'.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 wrong settings,
4 host or platform unreachable, 5 a row changed meanwhile.
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
    'version': 'celerywharf.cli._version',
}

READS_SETTINGS_AGAIN = frozenset(('front',))  # at SIGHUP


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return the exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
    try:
        return _run(words)
    except DocoptExit as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.usage
    except CelerywharfError as error:
        _complain(error.message)
        current = getattr(error, 'current', None)
        if current is not None:
            _complain(f'it stands now: {json.dumps(current)}')
        return exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.failed


def _run(words: Sequence[str]) -> int:
    options = docopt(
        __doc__,
        argv=words,
        version=__version__,
        options_first=True,
    )
    command = options['<command>']
    if command not in COMMANDS:
        known = ', '.join(COMMANDS)
        _complain(f'unknown command {command!r}; known: {known}')
        return ExitCode.usage
    if command in READS_SETTINGS_AGAIN:
        # One that comes before the handler is there would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return importlib.import_module(COMMANDS[command]).run(words)


def _complain(message: str) -> None:
    for line in message.splitlines():
        sys.stderr.write(f'celerywharf: {line}\n')
