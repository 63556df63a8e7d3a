"""Broadcasts notices about leaving backend servers to all hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from celerywharf.membership.notices import MICROSECONDS_PER_S, Notices
from celerywharf.wire.membership import Gossip, Notice, PeerState

if TYPE_CHECKING:
    from celerywharf.membership._part import Membership

# Well below NOTICE_RETENTION_S: a notice does not expire between repeats.
REPEAT_INTERVAL_S = 10.0

OnNotice = Callable[[str, bool], None]


class NoticeBroadcaster:
    """Distributes notices by gossip and stores the received ones.

    Attributes:
        notices: the newest notice about each backend server.
        callbacks: called when a backend server starts or stops leaving.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.notices = Notices()
        self.callbacks: list[OnNotice] = []

    def on_notice(self, callback: OnNotice) -> None:
        """Call ``callback(backend_server, leaving)`` on each change."""
        self.callbacks.append(callback)

    def report(self, backend_server: str, *, leaving: bool) -> None:
        """Announce that a backend server is leaving, or no longer is.

        A change is sent at once; a repeat travels with the probes.
        """
        stamp = int(self._wall_s() * MICROSECONDS_PER_S)
        notice = Notice(backend_server, stamp, leaving)
        changed = self.notices.apply([notice])
        self._broadcast(changed, self.membership.samples.one_per_zone())

    def refresh(self, backend_server: str) -> None:
        """Announce that a backend server is leaving.

        Does nothing if the same was announced within REPEAT_INTERVAL_S.
        """
        known = self.notices.known.get(backend_server)
        last_reported_s = (
            0 if known is None else known.stamp / MICROSECONDS_PER_S
        )
        stale = self._wall_s() - last_reported_s > REPEAT_INTERVAL_S
        if stale or not self.is_leaving(backend_server):
            self.report(backend_server, leaving=True)

    def receive(self, notices: Iterable[Notice]) -> None:
        """Apply notices from another host and forward the changes."""
        self._broadcast(self.notices.apply(notices), [])

    def is_leaving(self, backend_server: str) -> bool:
        """Return whether an unexpired notice marks a server as leaving."""
        return self.notices.is_leaving(backend_server, self._wall_s())

    def current(self) -> list[Notice]:
        """Return the unexpired notices to include in a message."""
        return self.notices.current(self._wall_s())

    def _wall_s(self) -> float:
        return self.membership.host.timers.wall()

    def _broadcast(
        self, changed: list[Notice], other_zone_targets: list[PeerState]
    ) -> None:
        if not changed:
            return
        own_zone_targets = self.membership.detector.gossip_targets()
        for target in (*own_zone_targets, *other_zone_targets):
            self.membership.send(target, Gossip([], changed))
        for notice in changed:
            for callback in self.callbacks:
                callback(notice.backend_server, notice.leaving)
