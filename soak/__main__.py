"""Run fronts under a random series of faults and check their guarantees.

Usage:
  soak [--seed N] [--seeds COUNT] [--span S] [--no-series] [--keep FOLDER]
  soak --regressions [--keep FOLDER]

Options:
  --regressions  Run the seeds in soak/regressions.ini.
  --seed N       First seed [default: 1].
  --seeds COUNT  Number of consecutive seeds to run [default: 1].
  --span S       Faults start within this many seconds [default: 20].
  --no-series    Do not kill several fronts at once beside malformed and
                 large documents.
  --keep FOLDER  Folder for the logs of soaks with findings
                 [default: run/soak].
"""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt

from soak.regressions import Regression, read_regressions
from soak.soaks import run_soak


def main() -> None:
    """Print a JSON line for each seed; exit with 1 if any has findings."""
    options = docopt(__doc__)
    logs_folder = Path(options['--keep'])
    has_findings = False
    for chosen in _chosen_soaks(options):
        outcome = run_soak(
            chosen.seed,
            chosen.span_s,
            logs_folder,
            has_series=chosen.has_series,
        )
        print(json.dumps(asdict(outcome)), flush=True)
        has_findings = has_findings or bool(outcome.findings)
    sys.exit(has_findings)


def _chosen_soaks(options: dict[str, Any]) -> list[Regression]:
    if options['--regressions']:
        return read_regressions()
    first_seed = int(options['--seed'])
    span_s = float(options['--span'])
    seeds = range(first_seed, first_seed + int(options['--seeds']))
    has_series = not options['--no-series']
    return [Regression(seed, span_s, has_series) for seed in seeds]


if __name__ == '__main__':
    main()
