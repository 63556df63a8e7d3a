"""Keeps this host on the platform's list of hosts."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from celerywharf.adapters import ListedHost
from celerywharf.exceptions import CelerywharfError
from celerywharf.tasks import Part

if TYPE_CHECKING:
    from celerywharf.hosts._host import Host

logger = logging.getLogger(__name__)

ANNOUNCE_PERIOD_S = 3.0


@dataclass(frozen=True, slots=True)
class Announce:
    """Time to repeat the announcement."""


class Announcer(Part):
    """Announces the host every few seconds, and at once when it leaves."""

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.announcing = False

    def start(self) -> None:
        """Announce now and from now on."""
        super().start()
        self.host.timers.every(ANNOUNCE_PERIOD_S, self.post, Announce())
        self.post(Announce())

    def handle(self, message: Any) -> None:
        """Announce unless an earlier call is still under way."""
        if isinstance(message, Announce) and not self.announcing:
            self.announcing = True
            self.spawn(self._announce())

    async def _announce(self) -> None:
        identity = self.host.identity
        listed = ListedHost(
            name=identity.name,
            region=identity.region,
            availability_zone=identity.availability_zone,
            address=identity.inner,
            incarnation=identity.incarnation,
            leaving=self.host.leaving,
        )
        try:
            await self.host.platform.announce(listed)
        except CelerywharfError as error:
            logger.info('announcement failed: %s', error.message)
        finally:
            self.announcing = False
