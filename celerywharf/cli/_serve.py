"""celerywharf serve: run an entry host.

Usage:
  celerywharf serve --config=FILE
  celerywharf serve (-h | --help)

Options:
  --config=FILE  Settings in INI format; see 'celerywharf config reference'.

SIGTERM lets the host finish its streams and stop; a second SIGTERM stops it at
once.
"""

from __future__ import annotations

from collections.abc import Sequence

from docopt import docopt

from celerywharf import api
from celerywharf.cli._exits import ExitCode


def run(argv: Sequence[str]) -> int:
    """Run the host until it is stopped."""
    options = docopt(__doc__, argv=list(argv))
    api.serve(options['--config'])
    return ExitCode.done
