"""Tells which backend servers have just started."""

from __future__ import annotations

from collections.abc import Callable

from celerywharf.backends._servers import BackendServer

# Entries are written again about each second; servers whose first entry arrives
# within this time of the first reading may have existed before it.
SETTLING_S = 4.0

StartSubscriber = Callable[[BackendServer, float], None]


class ServerStarts:
    """Tells subscribers of servers that start while this host runs.

    A host that has just started itself knows the history of no server and
    takes none for new.

    Attributes:
        read_at_s: when all entries were first read; None before that.
        subscribers: called with the server and monotonic seconds.
    """

    def __init__(self) -> None:
        self.read_at_s: float | None = None
        self.subscribers: list[StartSubscriber] = []

    def entries_read(self, now_s: float) -> None:
        """Record that all entries have been read."""
        if self.read_at_s is None:
            self.read_at_s = now_s

    def appeared(
        self,
        server: BackendServer,
        last_removed: tuple[int, int] | None,
        now_s: float,
    ) -> None:
        """Record the first entry of an incarnation.

        Args:
            server: the server.
            last_removed: ``born_ms`` and sequence of the server's last entry
                that was removed; None if there was none.
            now_s: monotonic seconds.
        """
        if self.read_at_s is None or now_s < self.read_at_s + SETTLING_S:
            return
        is_back = last_removed is not None and (
            last_removed[0] == server.born_ms
        )
        if server.draining or is_back:
            return
        for subscriber in self.subscribers:
            subscriber(server, now_s)
