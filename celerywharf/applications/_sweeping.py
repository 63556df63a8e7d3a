"""Removes claims that nobody may rely on any more."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from celerywharf.adapters.platforms import ScanPage
from celerywharf.applications._rows import KEY_PREFIX, ClaimRow
from celerywharf.exceptions import CelerywharfError
from celerywharf.tasks import Part

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

SWEEP_PERIOD_S = 30.0
SHARD_DIGITS = 2
HEXADECIMAL = '0123456789abcdef'


class Sweep:
    """Timer message: look at a part of the claims."""


class Sweeper(Part):
    """Looks at a random 256th of all claims now and then.

    Attributes:
        removed: rows removed since the start.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.generator = random.Random(host.identity.incarnation)
        self.removed = 0

    def start(self) -> None:
        """Begin to sweep."""
        super().start()
        self.host.timers.every(SWEEP_PERIOD_S, self.post, Sweep())

    def handle(self, message: Sweep) -> None:
        """Sweep one part."""
        digits = self.generator.choices(HEXADECIMAL, k=SHARD_DIGITS)
        self.spawn(self.sweep(KEY_PREFIX + ''.join(digits)))

    async def sweep(self, prefix: str) -> None:
        """Remove the expired rows of a prefix, unless they changed."""
        try:
            await self._sweep(prefix)
        except CelerywharfError as error:
            logger.info('claims not swept', extra={'reason': error.message})

    async def _sweep(self, prefix: str) -> None:
        after = ''
        while True:
            page = await self.host.platform.scan(prefix, after)
            await self._remove_expired(page)
            if not page.more:
                return
            after = page.rows[-1].key

    async def _remove_expired(self, page: ScanPage) -> None:
        wall = self.host.timers.wall()
        expired = {
            row.key: row.version
            for row in page.rows
            if wall >= ClaimRow.from_json(row.value).expires_s
        }
        if expired:
            await self.host.platform.commit(expired, {}, list(expired))
            self.removed += len(expired)
