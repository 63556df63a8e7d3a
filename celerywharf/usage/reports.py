"""Sums the stored batches for operators."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError
from celerywharf.usage.batches import SLOT_S, unpack
from celerywharf.usage.ledgers import Line, split_idle

if TYPE_CHECKING:
    from celerywharf.hosts import Host

LONGEST_S = 604_800.0
DEFAULT_S = 3600.0
READ_AT_ONCE_BATCHES = 32


async def stored_lines(host: Host, since_s: float) -> list[Line]:
    """Read all lines stored in the hours that touch the last seconds."""
    now = int(host.timers.wall())
    slot = int(now - since_s) // SLOT_S * SLOT_S
    gate = asyncio.Semaphore(READ_AT_ONCE_BATCHES)
    lines: list[Line] = []
    while slot <= now:
        names = await host.platform.list_objects(f'usage/{slot}/')
        reads = [_read(host, name, gate) for name in names]
        for batch in await asyncio.gather(*reads):
            lines.extend(batch)
        slot += SLOT_S
    return lines


async def _read(host: Host, name: str, gate: asyncio.Semaphore) -> list[Line]:
    async with gate:
        content = await host.platform.get_object(name)
    return list(unpack(content or b'[]'))


class UsageHandler(EdgeHandler):
    """``GET /operator/usage?since=SECONDS``."""

    async def get(self) -> None:
        """Answer with one object a client account."""
        self.require_operator()
        try:
            since_s = float(self.get_query_argument('since', str(DEFAULT_S)))
        except ValueError:
            raise BadRequestError('since is not a number of seconds') from None
        since_s = min(max(since_s, 0), LONGEST_S)
        lines = await stored_lines(self.host, since_s)
        shared = split_idle(lines, self.host.catalogue)
        self.write_json(
            {
                'accounts': [dataclasses.asdict(cost) for cost in shared],
            }
        )


USAGE_ROUTES = (('/operator/usage', UsageHandler),)
