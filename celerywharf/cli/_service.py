"""celerywharf service: what callers can ask for.

Usage:
  celerywharf service create NAME --kind=KIND [COLUMN=VALUE...] [options]
  celerywharf service list [options]
  celerywharf service remove NAME [options]
  celerywharf service (-h | --help)

Further columns: model, policy (patient or eager), idempotent_methods and
idempotent_paths (lists separated by commas), deadline_s.

Options:
  --kind=KIND       generation or application.
  --host=IP:PORT    Any host; by default from CELERYWHARF_HOST.
  --key-file=FILE   Key of operators; by default from CELERYWHARF_OPERATOR_KEY.
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


def run(words: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(words))
    client = OperatorClient.of_options(options)
    kind = RowKind.service
    name = options['NAME']
    if options['list']:
        _rows.list_rows(client, kind, as_json=options['--json'])
        return ExitCode.done
    if options['create']:
        fields = _rows.read_assignments(options['COLUMN=VALUE'])
        fields.update(name=name, kind=options['--kind'])
        change = _rows.write_row(client, kind, name, fields)
    else:
        change = _rows.remove_row(client, kind, name)
    print_change(change, as_json=options['--json'])
    return ExitCode.done
