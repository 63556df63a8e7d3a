"""celerywharf status: show a host and the table revision at all hosts.

Usage:
  celerywharf status [options]
  celerywharf status (-h | --help)

Options:
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
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


def run(argv: Sequence[str]) -> int:
    """Print the status of the host, then the revision at each host."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    status = client.call('GET', '/status')
    if options['--json']:
        table = client.call('GET', '/table/status')
        print_json({'host': status, 'table': table})
        return ExitCode.done
    lines = [{'name': name, 'value': value} for name, value in status.items()]
    print_records(('name', 'value'), lines)
    sys.stdout.write('\n')
    print_status(client, as_json=False)
    return ExitCode.done
