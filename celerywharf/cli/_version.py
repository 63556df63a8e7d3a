"""celerywharf version: print the version.

Usage:
  celerywharf version
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from docopt import docopt

from celerywharf import __version__
from celerywharf.cli._exits import ExitCode


def run(argv: Sequence[str]) -> int:
    """Print the version."""
    docopt(__doc__, argv=list(argv))
    sys.stdout.write(f'celerywharf {__version__}\n')
    return ExitCode.done
