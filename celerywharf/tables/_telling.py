"""Tells other hosts the news that this one has learned."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.structures import Address
from celerywharf.tables._messages import message_of
from celerywharf.tables._spread import Push, Relays, Replicator, Spread
from celerywharf.tables.changes import Delta
from celerywharf.wire import LinkService
from celerywharf.wire.tables import TablePush


class Origin(enum.Enum):
    """How a host came by news, which decides whom it tells."""

    commit = 'commit'
    platform = 'platform'
    push = 'push'
    pull = 'pull'


@dataclass(frozen=True, slots=True)
class Learned:
    """News from the platform, a peer or an own commit.

    Attributes:
        delta: the news.
        origin: how it came.
        source: inner address of the peer it came from.
        root: root of the tree that a push came down.
    """

    delta: Delta
    origin: Origin
    source: str = ''
    root: str = ''


class Teller:
    """Chooses whom to tell by how the news came, and tells them.

    What was pulled from a peer is not passed on: the others compare digests
    themselves.
    """

    def __init__(self, spread: Spread, links: LinkService) -> None:
        self.spread = spread
        self.links = links
        self.relays = Relays()

    def tell(
        self,
        news: Learned,
        others: Iterable[Replicator],
        *,
        is_new: bool,
    ) -> None:
        """Push news on; ``is_new`` says whether it was new to this host."""
        message = message_of(news.delta)
        for push in self._pushes(news, others, is_new=is_new):
            address = Address.parse(push.address)
            self.links.send(address, TablePush(push.root, message))

    def _pushes(
        self,
        news: Learned,
        others: Iterable[Replicator],
        *,
        is_new: bool,
    ) -> list[Push]:
        revision = news.delta.upto
        match news.origin:
            case Origin.commit:
                return self.spread.pushes_of_origin(revision, others)
            case Origin.platform if is_new:
                me = self.spread.me.address
                return self.spread.pushes_in_zone(revision, me, others)
            case Origin.push if self.relays.is_first(revision, news.root):
                root = news.root
                return self.spread.pushes_in_zone(revision, root, others)
        return []
