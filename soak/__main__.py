"""Soak fronts in faults that come in series.

Usage:
  soak [--seed N] [--seeds COUNT] [--span S] [--keep FOLDER]

Options:
  --seed N       First seed [default: 1].
  --seeds COUNT  How many, one after the other [default: 1].
  --span S       Seconds in which faults begin [default: 20].
  --keep FOLDER  Where logs of soaks with findings go [default: run/soak].
"""

import json
import sys
from dataclasses import asdict
from pathlib import Path

from docopt import docopt

from soak.soaks import run_soak


def main() -> None:
    """Print a JSON line a seed; exit with 1 if anything was found."""
    options = docopt(__doc__)
    first = int(options['--seed'])
    broken = False
    for seed in range(first, first + int(options['--seeds'])):
        outcome = run_soak(
            seed,
            float(options['--span']),
            Path(options['--keep']),
        )
        print(json.dumps(asdict(outcome)), flush=True)
        broken = broken or bool(outcome.findings)
    sys.exit(broken)


if __name__ == '__main__':
    main()
