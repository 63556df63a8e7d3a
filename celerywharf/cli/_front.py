"""celerywharf front: run a front on the users' platform.

Usage:
  celerywharf front [--config=FILE]
  celerywharf front (-h | --help)

Options:
  --config=FILE  Settings in INI; without it the file that the environment
                 variable CELERYWHARF_BOOT names.

SIGTERM lets the front finish its requests and leave; a second one stops it.
SIGHUP reads the settings again.
"""

from __future__ import annotations

import os
from collections.abc import Sequence

from docopt import docopt

from celerywharf.cli._exits import ExitCode
from celerywharf.exceptions import SettingsError
from celerywharf.fronts import serve_front

SETTINGS_VARIABLE = 'CELERYWHARF_BOOT'


def run(words: Sequence[str]) -> int:
    """Serve until stopped."""
    options = docopt(__doc__, argv=list(words))
    path = options['--config'] or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'neither --config nor {SETTINGS_VARIABLE} is set')
    serve_front(path)
    return ExitCode.done
