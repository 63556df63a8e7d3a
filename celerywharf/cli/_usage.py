"""celerywharf usage - what each client account cost.

Usage:
  celerywharf usage [options]
  celerywharf usage (-h | --help)

Options:
  --since=SECONDS   How far back, in whole hours touched [default: 3600].
  --json            Print JSON.
  --host=IP:PORT    Host to ask, default from CELERYWHARF_HOST.
  --key-file=FILE   Operators' key, default from CELERYWHARF_OPERATOR_KEY.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from urllib.parse import urlencode

from docopt import docopt

from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.timeline.text_tables import align

COLUMNS = (
    'client_account',
    'engine_seconds',
    'idle_seconds',
    'tokens',
    'transferred_bytes',
)


def run(words: Sequence[str]) -> int:
    """Print a row for each client account and a total."""
    options = docopt(__doc__, argv=list(words))
    query = urlencode({'since': options['--since']})
    client = OperatorClient.of_options(options)
    answer = client.call('GET', f'/usage?{query}')
    if options['--json']:
        sys.stdout.write(f'{json.dumps(answer)}\n')
        return ExitCode.done
    accounts = answer['accounts']
    table = [COLUMNS]
    table.extend(
        tuple(_text(account[name]) for name in COLUMNS) for account in accounts
    )
    totals = [sum(one[name] for one in accounts) for name in COLUMNS[1:]]
    table.append(('total', *map(_text, totals)))
    for line in align(table):
        sys.stdout.write(f'{line}\n')
    return ExitCode.done


def _text(value: float | str) -> str:
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value) or '(unassigned)'
