"""What hosts tell the reader of their zone of themselves."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from celerywharf.wire.peers import PeerEntry


class Announcer(Protocol):
    """Exchanges what hosts tell the reader of their zone of themselves."""

    def announcement(self) -> list[PeerEntry]:
        """Return what the reader is told of this host."""

    def on_announced(self, entries: Sequence[PeerEntry]) -> None:
        """Receive what another host tells this reader of itself."""
