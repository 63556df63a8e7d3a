"""Runs a front that takes itself for one that has run for long.

Usage:
  old_fronts front --config FILE
"""

from pathlib import Path

from docopt import docopt

from celerywharf.fronts import serve_front
from celerywharf.origins import _streams

YOUTH_S = 0.2


def main() -> None:
    """Run the front."""
    config = Path(docopt(__doc__)['FILE'])
    _streams.VERSIONS_KEPT_S = YOUTH_S
    serve_front(config)


if __name__ == '__main__':
    main()
