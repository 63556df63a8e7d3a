"""Spreads and keeps the notices about leaving backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from celerywharf.membership.notices import MICROSECONDS, Notices
from celerywharf.wire.membership import Gossip, Notice, PeerState

if TYPE_CHECKING:
    from celerywharf.membership._part import Membership

REPEAT_S = 10.0

OnNotice = Callable[[str, bool], None]


class NoticeBoard:
    """Tells all hosts what one of them found out about a backend server."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.notices = Notices()
        self.callbacks: list[OnNotice] = []

    def on_notice(self, callback: OnNotice) -> None:
        """Call ``callback(backend_server, leaving)`` at each new notice."""
        self.callbacks.append(callback)

    def report(self, backend_server: str, *, leaving: bool) -> None:
        """Tell all hosts that a backend server is leaving, or is back."""
        stamp = int(self._wall() * MICROSECONDS)
        notice = Notice(backend_server, stamp, leaving)
        fresh = self.notices.learn([notice])
        self._tell(fresh, self.membership.samples.one_a_zone())

    def refresh(self, backend_server: str) -> None:
        """Repeat that a backend server is leaving, before it is forgotten."""
        known = self.notices.known.get(backend_server)
        fresh_s = 0 if known is None else known.stamp / MICROSECONDS
        stale = self._wall() - fresh_s > REPEAT_S
        if stale or not self.is_leaving(backend_server):
            self.report(backend_server, leaving=True)

    def hear(self, notices: Iterable[Notice]) -> None:
        """Learn what another host says and pass on what is new."""
        self._tell(self.notices.learn(notices), [])

    def is_leaving(self, backend_server: str) -> bool:
        """Tell whether a notice says that a backend server is leaving."""
        return self.notices.is_leaving(backend_server, self._wall())

    def current(self) -> list[Notice]:
        """List the notices in force."""
        return self.notices.current(self._wall())

    def _wall(self) -> float:
        return self.membership.host.timers.wall()

    def _tell(self, fresh: list[Notice], beyond: list[PeerState]) -> None:
        if not fresh:
            return
        near = self.membership.detector.some_live()
        for target in (*near, *beyond):
            self.membership.send(target, Gossip([], fresh))
        for notice in fresh:
            for callback in self.callbacks:
                callback(notice.backend_server, notice.leaving)
