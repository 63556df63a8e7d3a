"""celerywharf quarantine: requests that fronts keep from engines.

Usage:
  celerywharf quarantine list --store ADDRESS [--all] [--json]
  celerywharf quarantine release NAME --store ADDRESS
  celerywharf quarantine (-h | --help)

Commands:
  list     Show the requests and prompt parts that reach no engine.
  release  Let a request, or requests with a prompt part, reach engines again.

Options:
  --store ADDRESS  The platform's metadata store, ip:port.
  --all            Show all under which engines were lost lately.
  --json           Print JSON instead of columns.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from docopt import docopt

from celerywharf.adapters import CurlTransport
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_json, print_records
from celerywharf.exceptions import SettingsError
from celerywharf.platform import StoreClient
from celerywharf.quarantine import LossRecord, is_request
from celerywharf.sharing import read_records, release_trait
from celerywharf.structures import Address

COLUMNS = ('kind', 'name', 'quarantined', 'generation', 'lost_servers')

Result = TypeVar('Result')


def run(argv: Sequence[str]) -> int:
    """List what is quarantined, or release a request or a part."""
    options = docopt(__doc__, argv=list(argv))
    address = _parse_address(options['--store'])
    if options['release']:
        name = options['NAME']
        if not asyncio.run(
            _call(address, lambda store: release_trait(store, name))
        ):
            sys.stderr.write(f'celerywharf: {name}: no engines were lost\n')
            return ExitCode.failed
        sys.stdout.write(f'{name}: released\n')
        return ExitCode.done
    lost = asyncio.run(_call(address, read_records))
    records = [
        _describe(record)
        for record in lost
        if record.is_heavy or (record.losses and options['--all'])
    ]
    if options['--json']:
        print_json(records)
    else:
        print_records(COLUMNS, records)
    return ExitCode.done


async def _call(
    address: Address, act: Callable[[StoreClient], Awaitable[Result]]
) -> Result:
    transport = CurlTransport()
    try:
        return await act(StoreClient(transport, address))
    finally:
        transport.close()


def _describe(record: LossRecord) -> dict[str, Any]:
    return {
        'kind': 'request' if is_request(record.trait) else 'prompt part',
        'name': record.trait,
        'quarantined': record.is_heavy,
        'generation': record.generation,
        'lost_servers': [loss.instance for loss in record.losses],
    }


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise SettingsError(f'--store: {error}') from None
