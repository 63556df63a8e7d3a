"""celerywharf front: run a front on the users' platform.

Usage:
  celerywharf front [--config=FILE]
  celerywharf front (-h | --help)

Options:
  --config=FILE  Settings in INI format; by default the file named by the
                 environment variable CELERYWHARF_BOOT.

SIGTERM lets the front finish its requests and stop; a second SIGTERM stops it
at once.  SIGHUP reloads the settings.
"""

from __future__ import annotations

import os
from collections.abc import Sequence

from docopt import docopt

from celerywharf.cli._exits import ExitCode
from celerywharf.exceptions import SettingsError
from celerywharf.fronts import serve_front

SETTINGS_VARIABLE = 'CELERYWHARF_BOOT'


def run(argv: Sequence[str]) -> int:
    """Run the front until it is stopped."""
    options = docopt(__doc__, argv=list(argv))
    path = options['--config'] or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'neither --config nor {SETTINGS_VARIABLE} is set')
    serve_front(path)
    return ExitCode.done
