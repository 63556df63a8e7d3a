"""Sends the changes that a host receives or commits to other hosts."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.structures import Address
from celerywharf.tables._messages import encode_delta
from celerywharf.tables._propagation import (
    ForwardedPushes,
    Propagation,
    Push,
    ReplicaHost,
)
from celerywharf.tables.changes import Delta
from celerywharf.wire import LinkService
from celerywharf.wire.tables import TablePush


class Origin(enum.Enum):
    """Where a host got an update from, which decides who receives it next."""

    commit = 'commit'
    platform = 'platform'
    push = 'push'
    pull = 'pull'


@dataclass(frozen=True, slots=True)
class Update:
    """A delta that a host has committed or received.

    Attributes:
        delta: the changed rows.
        origin: where the delta comes from.
        source: inner address of the peer that sent it, empty if none did.
        root: inner address of the root of the tree along which a push is
            forwarded, empty for other origins.
    """

    delta: Delta
    origin: Origin
    source: str = ''
    root: str = ''


class Publisher:
    """Pushes updates to the hosts that are to receive them from this one.

    Deltas pulled from a peer are not sent on: other hosts find what they
    lack by comparing digests.
    """

    def __init__(self, propagation: Propagation, links: LinkService) -> None:
        self.propagation = propagation
        self.links = links
        self.forwarded = ForwardedPushes()

    def publish(
        self,
        update: Update,
        others: Iterable[ReplicaHost],
        *,
        is_new: bool,
    ) -> None:
        """Push an update to other hosts without waiting for them.

        Args:
            update: what to send.
            others: the other hosts that are known.
            is_new: whether the update was applied on this host.
        """
        message = encode_delta(update.delta)
        for push in self._pushes(update, others, is_new=is_new):
            address = Address.parse(push.address)
            self.links.send(address, TablePush(push.root, message))

    def _pushes(
        self,
        update: Update,
        others: Iterable[ReplicaHost],
        *,
        is_new: bool,
    ) -> list[Push]:
        revision = update.delta.upto
        match update.origin:
            case Origin.commit:
                return self.propagation.pushes_from_origin(revision, others)
            case Origin.platform if is_new:
                root = self.propagation.local.address
                return self.propagation.pushes_in_zone(revision, root, others)
            case Origin.push if self.forwarded.add(revision, update.root):
                root = update.root
                return self.propagation.pushes_in_zone(revision, root, others)
        return []
