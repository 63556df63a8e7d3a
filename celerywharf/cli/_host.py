"""celerywharf host: entry hosts.

Usage:
  celerywharf host list [options]
  celerywharf host stop [NAME] [options]
  celerywharf host (-h | --help)

Commands:
  list   Hosts that are alive, as the host asked knows them.
  stop   Let a host finish what runs and leave; by default the one asked.

Options:
  --host=IP:PORT    Any host; by default from CELERYWHARF_HOST.
  --key-file=FILE   Key of operators; by default from CELERYWHARF_OPERATOR_KEY.
  --json            Print JSON.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from urllib.parse import quote

from docopt import docopt

from celerywharf.cli._client import OperatorClient, read_address
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


def run(words: Sequence[str]) -> int:
    """Run a subcommand."""
    options = docopt(__doc__, argv=list(words))
    client = OperatorClient.of_options(options)
    if options['list']:
        print_hosts(client, as_json=options['--json'])
        return ExitCode.done
    if options['NAME']:
        client = _client_of(client, options['NAME'])
    answer = client.call('POST', '/host/drain', {})
    if options['--json']:
        print_json(answer)
    else:
        sys.stdout.write(f'host {answer["host"]} is leaving\n')
    return ExitCode.done


def print_hosts(client: OperatorClient, *, as_json: bool) -> None:
    """Print the hosts that are alive."""
    answer = client.call('GET', '/hosts')
    if as_json:
        print_json(answer)
        return
    print_records(COLUMNS, answer['hosts'])


def _client_of(client: OperatorClient, name: str) -> OperatorClient:
    path = f'/hosts?name={quote(name)}'
    for known in client.call('GET', path)['hosts']:
        if known['edge']:
            return client.at(read_address(known['edge']))
    raise NotFoundError(f'no live host {name}')
