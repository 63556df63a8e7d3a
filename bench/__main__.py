"""Run one benchmark.

Usage:
  bench NAME [--seed N] [--policy P] [ARGUMENT ...]
  bench (-h | --help)

Options:
  --seed N    Seed of the random choices [default: 1].
  --policy P  Policy, passed to the benchmark as its first ARGUMENT.

NAME is a module of this package with a function `run(seed, arguments)`, which
prints progress on standard error and returns figures.  The figures are printed
as one JSON object on the last line of standard output.
"""

import importlib
import json
import sys
import time

from docopt import docopt


def main() -> int:
    """Run the benchmark named on the command line."""
    options = docopt(__doc__, options_first=False)
    name = options['NAME']
    seed = int(options['--seed'])
    policy = options['--policy']
    arguments = [policy] if policy else []
    arguments += options['ARGUMENT']
    module = importlib.import_module(f'bench.{name}')
    start_s = time.monotonic()
    figures = module.run(seed, arguments)
    elapsed_s = round(time.monotonic() - start_s, 1)
    sys.stdout.write(
        json.dumps({'bench': name, 'seed': seed, **figures, 's': elapsed_s}),
    )
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
