"""celerywharf backend: manage backend servers.

Usage:
  celerywharf backend add NAME --url=URL --region=REGION --zone=ZONE
                          --service=SERVICE [--ignores-fencing] [options]
  celerywharf backend list [options]
  celerywharf backend start NAME [options]
  celerywharf backend stop NAME [options]
  celerywharf backend remove NAME [options]
  celerywharf backend (-h | --help)

Commands:
  start   Let the server receive new work.
  stop    Send the server no new work; running requests finish.

Options:
  --url=URL           Base URL, http://ip:port.
  --region=REGION     Region of the server.
  --zone=ZONE         Availability zone of the server.
  --service=SERVICE   Service that the server provides.
  --ignores-fencing   The server does not check the fencing number of orders.
  --host=IP:PORT      Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE     File with the operator key; by default the key in
                      CELERYWHARF_OPERATOR_KEY.
  --json              Print JSON.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from docopt import docopt

from celerywharf.cli import _rows
from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_change
from celerywharf.exceptions import NotFoundError
from celerywharf.tables import BackendState, RowKind

KIND = RowKind.backend_server


def run(argv: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    if options['list']:
        _rows.list_rows(client, KIND, as_json=options['--json'])
        return ExitCode.done
    change = _change(client, options)
    print_change(change, as_json=options['--json'])
    return ExitCode.done


def _change(
    client: OperatorClient,
    options: Mapping[str, Any],
) -> Mapping[str, Any]:
    name = options['NAME']
    if options['add']:
        return _rows.write_row(client, KIND, name, _fields(options))
    if options['start']:
        return _set_state(client, name, BackendState.active)
    if options['stop']:
        return _set_state(client, name, BackendState.leaving)
    return _rows.remove_row(client, KIND, name)


def _fields(options: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'name': options['NAME'],
        'url': options['--url'],
        'region': options['--region'],
        'availability_zone': options['--zone'],
        'service': options['--service'],
        'checks_fencing': not options['--ignores-fencing'],
    }


def _set_state(
    client: OperatorClient,
    name: str,
    state: BackendState,
) -> Mapping[str, Any]:
    row = _rows.read_row(client, KIND, name)
    if row is None:
        raise NotFoundError(f'no backend_server {name}')
    fields = {**row['fields'], 'state': state.value}
    return _rows.write_row(client, KIND, name, fields, row['version'])
