"""celerywharf host: list and drain entry hosts.

Usage:
  celerywharf host list [options]
  celerywharf host stop [NAME] [options]
  celerywharf host (-h | --help)

Commands:
  list   List the live hosts known to the contacted host.
  stop   Let a host finish its requests and stop; by default the contacted host.

Options:
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from urllib.parse import quote

from docopt import docopt

from celerywharf.cli._client import OperatorClient, parse_address
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_json, print_records
from celerywharf.exceptions import NotFoundError

COLUMNS = (
    'host',
    'region',
    'availability_zone',
    'edge',
    'inner',
    'leaving',
)


def run(argv: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(argv))
    client = OperatorClient.from_options(options)
    if options['list']:
        print_hosts(client, as_json=options['--json'])
        return ExitCode.done
    if options['NAME']:
        client = _client_for(client, options['NAME'])
    answer = client.call('POST', '/host/drain', {})
    if options['--json']:
        print_json(answer)
    else:
        sys.stdout.write(f'host {answer["host"]} is leaving\n')
    return ExitCode.done


def print_hosts(client: OperatorClient, *, as_json: bool) -> None:
    """Print the live hosts."""
    answer = client.call('GET', '/hosts')
    if as_json:
        print_json(answer)
        return
    print_records(COLUMNS, answer['hosts'])


def _client_for(client: OperatorClient, name: str) -> OperatorClient:
    path = f'/hosts?name={quote(name)}'
    for found in client.call('GET', path)['hosts']:
        if found['edge']:
            return client.for_host(parse_address(found['edge']))
    raise NotFoundError(f'no live host {name}')
