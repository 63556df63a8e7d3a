"""celerywharf quarantine: prompt parts that fronts keep from engines.

Usage:
  celerywharf quarantine list --store ADDRESS [--json]
  celerywharf quarantine release PART --store ADDRESS
  celerywharf quarantine (-h | --help)

Commands:
  list     Show the prompt parts under which engines were lost.
  release  Let requests with a part reach engines again.

Options:
  --store ADDRESS  The platform's metadata store, ip:port.
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
from celerywharf.quarantine import PartRecord
from celerywharf.sharing import read_parts, release_part
from celerywharf.structures import Address

COLUMNS = ('part', 'quarantined', 'generation', 'lost_servers')

Result = TypeVar('Result')


def run(argv: Sequence[str]) -> int:
    """List the parts or release one."""
    options = docopt(__doc__, argv=list(argv))
    address = _parse_address(options['--store'])
    if options['release']:
        part = options['PART']
        if not asyncio.run(
            _call(address, lambda store: release_part(store, part))
        ):
            sys.stderr.write(f'celerywharf: {part}: no engines were lost\n')
            return ExitCode.failed
        sys.stdout.write(f'{part}: released\n')
        return ExitCode.done
    parts = asyncio.run(_call(address, read_parts))
    records = [_describe(part) for part in parts if part.losses]
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


def _describe(part: PartRecord) -> dict[str, Any]:
    return {
        'part': part.part,
        'quarantined': part.is_heavy,
        'generation': part.generation,
        'lost_servers': [loss.instance for loss in part.losses],
    }


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise SettingsError(f'--store: {error}') from None
