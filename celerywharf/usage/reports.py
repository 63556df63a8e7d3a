"""Reports the stored usage to operators."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError
from celerywharf.usage.batches import SLOT_S, unpack
from celerywharf.usage.ledgers import UsageLine, split_idle

if TYPE_CHECKING:
    from celerywharf.hosts import Host

MAX_SINCE_S = 604_800.0
DEFAULT_SINCE_S = 3600.0
CONCURRENT_READS = 32


async def stored_lines(host: Host, since_s: float) -> list[UsageLine]:
    """Return all usage lines stored in the last ``since_s`` seconds.

    Whole slots of ``SLOT_S`` are read, also the one in which the period
    begins.
    """
    now = int(host.timers.wall())
    slot = int(now - since_s) // SLOT_S * SLOT_S
    semaphore = asyncio.Semaphore(CONCURRENT_READS)
    lines: list[UsageLine] = []
    while slot <= now:
        names = await host.platform.list_objects(f'usage/{slot}/')
        reads = [_read(host, name, semaphore) for name in names]
        for batch in await asyncio.gather(*reads):
            lines.extend(batch)
        slot += SLOT_S
    return lines


async def _read(
    host: Host, name: str, semaphore: asyncio.Semaphore
) -> list[UsageLine]:
    async with semaphore:
        content = await host.platform.get_object(name)
    return list(unpack(content or b'[]'))


class UsageHandler(EdgeHandler):
    """``GET /operator/usage?since=SECONDS``."""

    async def get(self) -> None:
        """Answer with an object for each client account."""
        self.require_operator()
        try:
            since_s = float(
                self.get_query_argument('since', str(DEFAULT_SINCE_S))
            )
        except ValueError:
            raise BadRequestError('since is not a number of seconds') from None
        since_s = min(max(since_s, 0), MAX_SINCE_S)
        lines = await stored_lines(self.host, since_s)
        costs = split_idle(lines, self.host.catalogue)
        self.write_json(
            {
                'accounts': [dataclasses.asdict(cost) for cost in costs],
            }
        )


USAGE_ROUTES = (('/operator/usage', UsageHandler),)
