"""Removes expired claims from the platform's table."""

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
    """Timer message: sweep a random part of the claims."""


class Sweeper(Part):
    """Sweeps a random 1/256 of all claims every ``SWEEP_PERIOD_S``.

    Attributes:
        removed: number of rows removed since the start.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.generator = random.Random(host.identity.incarnation)
        self.removed = 0

    def start(self) -> None:
        """Begin sweeping."""
        super().start()
        self.host.timers.every(SWEEP_PERIOD_S, self.post, Sweep())

    def handle(self, message: Sweep) -> None:
        """Sweep the claims under one random prefix."""
        digits = self.generator.choices(HEXADECIMAL, k=SHARD_DIGITS)
        self.spawn(self.sweep(KEY_PREFIX + ''.join(digits)))

    async def sweep(self, prefix: str) -> None:
        """Remove the expired rows under a key prefix, unless they changed.

        Errors of the platform are logged, not raised.
        """
        try:
            await self._sweep(prefix)
        except CelerywharfError as error:
            logger.info(
                'could not remove expired claims',
                extra={'reason': error.message},
            )

    async def _sweep(self, prefix: str) -> None:
        after = ''
        while True:
            page = await self.host.platform.scan(prefix, after)
            await self._remove_expired(page)
            if not page.more:
                return
            after = page.rows[-1].key

    async def _remove_expired(self, page: ScanPage) -> None:
        wall_s = self.host.timers.wall()
        expired = {
            row.key: row.version
            for row in page.rows
            if wall_s >= ClaimRow.from_json(row.value).expires_s
        }
        if expired:
            await self.host.platform.commit(expired, {}, list(expired))
            self.removed += len(expired)
