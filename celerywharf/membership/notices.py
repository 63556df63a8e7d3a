"""Store of notices about backend servers that are leaving."""

from __future__ import annotations

import operator
from collections.abc import Iterable

from celerywharf.wire.membership import Notice

MICROSECONDS_PER_S = 1_000_000
NOTICE_RETENTION_S = 30.0
MAX_NOTICES_PER_MESSAGE = 32


class Notices:
    """The newest notice about each backend server.

    A notice expires unless a host that still observes the cause repeats it.
    No notice is needed once the backend server's row in the table has
    changed.
    """

    def __init__(self) -> None:
        self.known: dict[str, Notice] = {}

    def apply(self, notices: Iterable[Notice]) -> list[Notice]:
        """Store notices; return those that change whether a server leaves."""
        return [notice for notice in notices if self._apply_notice(notice)]

    def is_leaving(self, backend_server: str, wall_s: float) -> bool:
        """Return whether an unexpired notice marks a server as leaving."""
        notice = self.known.get(backend_server)
        if notice is None or not notice.leaving:
            return False
        return wall_s - notice.stamp / MICROSECONDS_PER_S < NOTICE_RETENTION_S

    def current(self, wall_s: float) -> list[Notice]:
        """Return the newest unexpired notices, limited for one message.

        Removes the expired ones.
        """
        oldest = (wall_s - NOTICE_RETENTION_S) * MICROSECONDS_PER_S
        for name, notice in tuple(self.known.items()):
            if notice.stamp < oldest:
                self.known.pop(name)
        newest = sorted(
            self.known.values(),
            key=operator.attrgetter('stamp'),
            reverse=True,
        )
        return newest[:MAX_NOTICES_PER_MESSAGE]

    def _apply_notice(self, notice: Notice) -> bool:
        known = self.known.get(notice.backend_server)
        if known is not None and known.stamp >= notice.stamp:
            return False
        self.known[notice.backend_server] = notice
        before = known is not None and known.leaving
        return before != notice.leaving
