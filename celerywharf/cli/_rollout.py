"""celerywharf rollout: services that move to another software version.

Usage:
  celerywharf rollout list --store ADDRESS [--all] [--json]
  celerywharf rollout (-h | --help)

Commands:
  list  Show the roll-outs in progress.

Options:
  --store ADDRESS  The platform's metadata store, ip:port.
  --all            Show those that have ended, too.
  --json           Print JSON instead of columns.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from docopt import docopt

from celerywharf.adapters import CurlTransport
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_json, print_records
from celerywharf.exceptions import SettingsError
from celerywharf.platform import StoreClient
from celerywharf.rollouts import RolloutStep
from celerywharf.sharing import read_steps
from celerywharf.structures import Address

COLUMNS = (
    'service',
    'to',
    'stage',
    'share',
    'requests',
    'exposed',
    'host',
    'reason',
)


def run(argv: Sequence[str]) -> int:
    """List roll-outs."""
    options = docopt(__doc__, argv=list(argv))
    try:
        address = Address.parse(options['--store'])
    except ValueError as error:
        raise SettingsError(f'--store: {error}') from None
    steps = asyncio.run(_read(address))
    records = [
        _describe(step)
        for step in steps
        if options['--all'] or not step.stage.is_final
    ]
    if options['--json']:
        print_json(records)
    else:
        print_records(COLUMNS, records)
    return ExitCode.done


async def _read(address: Address) -> list[RolloutStep]:
    transport = CurlTransport()
    try:
        return await read_steps(StoreClient(transport, address))
    finally:
        transport.close()


def _describe(step: RolloutStep) -> dict[str, Any]:
    return {
        name: str(getattr(step, name))
        if name == 'stage'
        else getattr(step, name)
        for name in COLUMNS
    }
