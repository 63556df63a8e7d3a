"""celerywharf usage - show the resources used by each client account.

Usage:
  celerywharf usage [options]
  celerywharf usage (-h | --help)

Options:
  --since=SECONDS   Length of the period, extended to whole hours
                    [default: 3600].
  --json            Print JSON.
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
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


def run(argv: Sequence[str]) -> int:
    """Print a line for each client account and a total."""
    options = docopt(__doc__, argv=list(argv))
    query = urlencode({'since': options['--since']})
    client = OperatorClient.from_options(options)
    answer = client.call('GET', f'/usage?{query}')
    if options['--json']:
        sys.stdout.write(f'{json.dumps(answer)}\n')
        return ExitCode.done
    accounts = answer['accounts']
    table = [COLUMNS]
    table.extend(
        tuple(_format_cell(account[name]) for name in COLUMNS)
        for account in accounts
    )
    totals = [
        sum(account[name] for account in accounts) for name in COLUMNS[1:]
    ]
    table.append(('total', *map(_format_cell, totals)))
    for line in align(table):
        sys.stdout.write(f'{line}\n')
    return ExitCode.done


def _format_cell(value: float | str) -> str:
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value) or '(unassigned)'
