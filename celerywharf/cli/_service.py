"""celerywharf service: manage the services that callers can request.

Usage:
  celerywharf service create NAME --kind=KIND [COLUMN=VALUE...] [options]
  celerywharf service list [options]
  celerywharf service remove NAME [options]
  celerywharf service (-h | --help)

COLUMN is model, policy (patient or eager), idempotent_methods or
idempotent_paths (lists separated by commas), or deadline_s.

Options:
  --kind=KIND       generation or application.
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.
"""

from __future__ import annotations

from collections.abc import Sequence

from docopt import docopt

from celerywharf.cli import _rows
from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_change
from celerywharf.tables import RowKind


def run(argv: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    kind = RowKind.service
    name = options['NAME']
    if options['list']:
        _rows.list_rows(client, kind, as_json=options['--json'])
        return ExitCode.done
    if options['create']:
        fields = _rows.parse_assignments(options['COLUMN=VALUE'])
        fields.update(name=name, kind=options['--kind'])
        change = _rows.write_row(client, kind, name, fields)
    else:
        change = _rows.remove_row(client, kind, name)
    print_change(change, as_json=options['--json'])
    return ExitCode.done
