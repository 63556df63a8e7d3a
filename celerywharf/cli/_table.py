"""celerywharf table: read and change the shared table.

Usage:
  celerywharf table show [KIND] [options]
  celerywharf table set KIND KEY COLUMN=VALUE... [--version=N] [options]
  celerywharf table remove KIND KEY [--version=N] [options]
  celerywharf table import KIND FILE [options]
  celerywharf table export KIND [options]
  celerywharf table history [--after=N] [--limit=N] [options]
  celerywharf table status [options]
  celerywharf table (-h | --help)

KIND is client_account, service, backend_server or share.  The key of a share
is BACKEND_SERVER:CLIENT_ACCOUNT, where * means any backend server.

Commands:
  show     Print the rows in force at the host.
  set      Change columns of a row, or create it.
  remove   Delete a row.
  import   Write the rows of a CSV file with a header line, all or none; - reads
           standard input.  A row with a version must still have that version.
  export   Print the rows of a kind as CSV for import.
  history  Print the changes in order, as stored on the platform.
  status   Print the revision in force at each host.

Options:
  --version=N       Version the row must have; by default the one in force.
  --after=N         Show changes after this revision.
  --limit=N         Maximum number of changes shown [default: 20].
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.

If the row was changed concurrently, its current state is printed and the exit
code is 5.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from docopt import docopt

from celerywharf.cli import _rows
from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_change, print_json, print_records
from celerywharf.exceptions import BadRequestError
from celerywharf.tables import RowKind
from celerywharf.tables.edits import read_kind

CSV = 'text/csv'
STATUS_COLUMNS = (
    'host',
    'availability_zone',
    'inner',
    'reachable',
    'ready',
    'revision',
    'platform_age_s',
)
HISTORY_COLUMNS = ('revision', 'at', 'host', 'rows', 'change_id')

Options = Mapping[str, Any]


def run(argv: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    commands = {
        'show': _show,
        'set': _set,
        'remove': _remove,
        'import': _import,
        'export': _export,
        'history': _history,
        'status': _status,
    }
    for name, command in commands.items():
        if options[name]:
            command(client, options)
    return ExitCode.done


def print_status(client: OperatorClient, *, as_json: bool) -> None:
    """Print the revision in force at each host."""
    answer = client.call('GET', '/table/status')
    if as_json:
        print_json(answer)
        return
    print_records(STATUS_COLUMNS, answer['hosts'])


def _show(client: OperatorClient, options: Options) -> None:
    if options['KIND']:
        _rows.list_rows(client, _kind(options), as_json=options['--json'])
        return
    answer = client.call('GET', '/table')
    if options['--json']:
        print_json(answer)
        return
    for kind in RowKind:
        sys.stdout.write(f'# {kind.value}\n')
        _rows.print_kind(kind, answer['rows'])


def _set(client: OperatorClient, options: Options) -> None:
    change = _rows.update_row(
        client,
        _kind(options),
        options['KEY'],
        _rows.parse_assignments(options['COLUMN=VALUE']),
        options['--version'],
    )
    print_change(change, as_json=options['--json'])


def _remove(client: OperatorClient, options: Options) -> None:
    change = _rows.remove_row(
        client,
        _kind(options),
        options['KEY'],
        options['--version'],
    )
    print_change(change, as_json=options['--json'])


def _import(client: OperatorClient, options: Options) -> None:
    path = f'/table/import?kind={_kind(options).value}'
    change = client.post_text(path, _read_text(options['FILE']), CSV)
    print_change(change, as_json=options['--json'])


def _export(client: OperatorClient, options: Options) -> None:
    sys.stdout.write(
        client.get_text(f'/table?kind={_kind(options).value}', CSV)
    )


def _history(client: OperatorClient, options: Options) -> None:
    path = f'/table/history?limit={options["--limit"]}'
    if options['--after'] is not None:
        path = f'{path}&after={options["--after"]}'
    answer = client.call('GET', path)
    if options['--json']:
        print_json(answer)
        return
    print_records(HISTORY_COLUMNS, map(_history_record, answer['changes']))


def _status(client: OperatorClient, options: Options) -> None:
    print_status(client, as_json=options['--json'])


def _history_record(change: Mapping[str, Any]) -> Mapping[str, Any]:
    at = time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(change['at_s']))
    rows = [f'{row["kind"]}/{row["key"]}' for row in change['rows']]
    return {**change, 'at': at, 'rows': rows}


def _kind(options: Options) -> RowKind:
    return read_kind(options['KIND'])


def _read_text(path: str) -> str:
    try:
        if path == '-':
            return sys.stdin.read()
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise BadRequestError(f'{path}: cannot be read: {error}') from None
