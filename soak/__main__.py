"""Soak fronts in faults that come in series.

Usage:
  soak [--seed N] [--seeds COUNT] [--span S] [--keep FOLDER]
  soak --regressions [--keep FOLDER]

Options:
  --regressions  Play the seeds that have found something before.
  --seed N       First seed [default: 1].
  --seeds COUNT  How many, one after the other [default: 1].
  --span S       Seconds in which faults begin [default: 20].
  --keep FOLDER  Where logs of soaks with findings go [default: run/soak].
"""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt

from soak.regressions import read_regressions
from soak.soaks import run_soak


def main() -> None:
    """Print a JSON line a seed; exit with 1 if anything was found."""
    options = docopt(__doc__)
    keep = Path(options['--keep'])
    broken = False
    for seed, span_s in _chosen(options):
        outcome = run_soak(seed, span_s, keep)
        print(json.dumps(asdict(outcome)), flush=True)
        broken = broken or bool(outcome.findings)
    sys.exit(broken)


def _chosen(options: dict[str, Any]) -> list[tuple[int, float]]:
    if options['--regressions']:
        return read_regressions()
    first = int(options['--seed'])
    span_s = float(options['--span'])
    seeds = range(first, first + int(options['--seeds']))
    return [(seed, span_s) for seed in seeds]


if __name__ == '__main__':
    main()
