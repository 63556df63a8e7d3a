"""celerywharf serve: run an entry host.

Usage:
  celerywharf serve --config=FILE
  celerywharf serve (-h | --help)

Options:
  --config=FILE  Settings in INI; see 'celerywharf config check'.

SIGTERM lets the host finish its streams and leave; a second one stops it.
"""

from __future__ import annotations

from collections.abc import Sequence

from docopt import docopt

from celerywharf import api
from celerywharf.cli._exits import ExitCode


def run(words: Sequence[str]) -> int:
    """Serve until stopped."""
    options = docopt(__doc__, argv=list(words))
    api.serve(options['--config'])
    return ExitCode.done
