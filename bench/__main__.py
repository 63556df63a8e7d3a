"""Run one experiment.

Usage:
  bench NAME [--seed N] [--policy P] [ARGUMENT ...]
  bench (-h | --help)

Options:
  --seed N    Seed of what is drawn at random [default: 1].
  --policy P  The first ARGUMENT by name, where one is a policy.

NAME is a module of this package with a function `run(seed, words)`, which
prints progress on standard error and returns figures.  They are printed as
one JSON object, the last line of standard output.
"""

import importlib
import json
import sys
import time

from docopt import docopt


def main() -> int:
    """Run the experiment that the command line names."""
    options = docopt(__doc__, options_first=False)
    name = options['NAME']
    seed = int(options['--seed'])
    policy = options['--policy']
    words = [policy] if policy else []
    words += options['ARGUMENT']
    module = importlib.import_module(f'bench.{name}')
    began_s = time.monotonic()
    figures = module.run(seed, words)
    elapsed_s = round(time.monotonic() - began_s, 1)
    sys.stdout.write(
        json.dumps({'bench': name, 'seed': seed, **figures, 's': elapsed_s}),
    )
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
