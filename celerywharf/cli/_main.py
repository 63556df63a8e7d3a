"""celerywharf: serving long generations on engines that fail.

Usage:
  celerywharf <command> [<arguments>...]
  celerywharf (-h | --help)
  celerywharf --version

Commands:
  serve      Run an entry host.
  config     Check a settings file.
  timeline   What happened, over all processes.
  version    Print the version.

See 'celerywharf <command> --help'.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 wrong settings,
4 host or platform unreachable, 5 a row changed meanwhile.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

from docopt import docopt

from celerywharf import __version__
from celerywharf.cli._exits import ExitCode, exit_code
from celerywharf.exceptions import CelerywharfError

COMMANDS = {
    'timeline': 'celerywharf.cli._timeline',
    'serve': 'celerywharf.cli._serve',
    'config': 'celerywharf.cli._config',
    'version': 'celerywharf.cli._version',
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return the exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
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
    module = importlib.import_module(COMMANDS[command])
    try:
        return module.run(words)
    except CelerywharfError as error:
        _complain(error.message)
        return exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.failed


def _complain(message: str) -> None:
    for line in message.splitlines():
        sys.stderr.write(f'celerywharf: {line}\n')
