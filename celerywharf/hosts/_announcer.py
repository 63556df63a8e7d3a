"""Keeps the entry of this host in the platform's list of hosts."""

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
    """Message: write the entry of this host to the list now."""


class Announcer(Part):
    """Writes the entry periodically, and at once when the host leaves.

    Attributes:
        host: the host that is announced.
        announcing: True while a call to the platform is in progress.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.announcing = False

    def start(self) -> None:
        """Start the task; announce now and then periodically."""
        super().start()
        self.host.timers.every(ANNOUNCE_PERIOD_S, self.post, Announce())
        self.post(Announce())

    def handle(self, message: Any) -> None:
        """Announce unless an earlier call is still in progress."""
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
