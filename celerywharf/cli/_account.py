"""celerywharf account: manage client accounts and their keys.

Usage:
  celerywharf account create NAME [--priority=N] [options]
  celerywharf account list [options]
  celerywharf account remove NAME [options]
  celerywharf account (-h | --help)

The key of a new account is printed once; only its digest is stored.

Options:
  --priority=N      Priority sent to engines, higher first [default: 0].
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.
"""

from __future__ import annotations

import secrets
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from docopt import docopt

from celerywharf.cli import _rows
from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_change, print_json
from celerywharf.tables import RowKind
from celerywharf.tables.catalogues import digest_key

KEY_BYTES = 24
KEY_PREFIX = 'cw-'


def run(argv: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    kind = RowKind.client_account
    if options['create']:
        _create(client, options)
    elif options['list']:
        _rows.list_rows(client, kind, as_json=options['--json'])
    else:
        change = _rows.remove_row(client, kind, options['NAME'])
        print_change(change, as_json=options['--json'])
    return ExitCode.done


def _create(client: OperatorClient, options: Mapping[str, Any]) -> None:
    name = options['NAME']
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    fields = {
        'name': name,
        'key_digest': digest_key(key),
        'priority': options['--priority'],
    }
    kind = RowKind.client_account
    change = _rows.write_row(client, kind, name, fields)
    if options['--json']:
        print_json({'name': name, 'key': key, 'change': change})
        return
    print_change(change, as_json=False)
    sys.stdout.write(f'key (shown only once): {key}\n')
