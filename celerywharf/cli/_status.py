"""celerywharf status: a host, and the table's revision at all hosts.

Usage:
  celerywharf status [options]
  celerywharf status (-h | --help)

Options:
  --host=IP:PORT    Any host; by default from CELERYWHARF_HOST.
  --key-file=FILE   Key of operators; by default from CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from docopt import docopt

from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_json, print_records
from celerywharf.cli._table import print_status


def run(words: Sequence[str]) -> int:
    """Print the status."""
    options = docopt(__doc__, argv=list(words))
    client = OperatorClient.of_options(options)
    answer = client.call('GET', '/status')
    if options['--json']:
        table = client.call('GET', '/table/status')
        print_json({'host': answer, 'table': table})
        return ExitCode.done
    lines = [{'name': name, 'value': value} for name, value in answer.items()]
    print_records(('name', 'value'), lines)
    sys.stdout.write('\n')
    print_status(client, as_json=False)
    return ExitCode.done
