"""Which backend servers were found to be leaving."""

from __future__ import annotations

import operator
from collections.abc import Iterable

from celerywharf.wire.membership import Notice

MICROSECONDS = 1_000_000
NOTICE_KEEP_S = 30.0
NOTICES_PER_MESSAGE = 32


class Notices:
    """The newest notice about each backend server.

    A notice is forgotten unless it is repeated by who can still see the
    cause; the table's own row, once changed, needs no notice.
    """

    def __init__(self) -> None:
        self.known: dict[str, Notice] = {}

    def learn(self, notices: Iterable[Notice]) -> list[Notice]:
        """Take notices; return those that say something new."""
        return [notice for notice in notices if self._take(notice)]

    def is_leaving(self, backend_server: str, wall_s: float) -> bool:
        """Tell whether a notice in force says that it is leaving."""
        notice = self.known.get(backend_server)
        if notice is None or not notice.leaving:
            return False
        return wall_s - notice.stamp / MICROSECONDS < NOTICE_KEEP_S

    def current(self, wall_s: float) -> list[Notice]:
        """List the newest notices in force, bounded."""
        oldest = (wall_s - NOTICE_KEEP_S) * MICROSECONDS
        for name, notice in tuple(self.known.items()):
            if notice.stamp < oldest:
                self.known.pop(name)
        newest = sorted(
            self.known.values(),
            key=operator.attrgetter('stamp'),
            reverse=True,
        )
        return newest[:NOTICES_PER_MESSAGE]

    def _take(self, notice: Notice) -> bool:
        known = self.known.get(notice.backend_server)
        if known is not None and known.stamp >= notice.stamp:
            return False
        self.known[notice.backend_server] = notice
        before = known is not None and known.leaving
        return before != notice.leaving
