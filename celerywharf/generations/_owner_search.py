"""Finds the owner of a generation, or a journal to take over."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    GenerationLostError,
    NotFoundError,
    PeerUnreachableError,
    StaleEpochError,
)
from celerywharf.generations._placement import search_order
from celerywharf.generations.journals import Journal, next_epoch
from celerywharf.membership import Peer
from celerywharf.wire.journals import JournalFind, JournalFound, JournalTake

if TYPE_CHECKING:
    from celerywharf.generations._generations import Generations

FIND_TIMEOUT_S = 0.3
TAKE_TIMEOUT_S = 0.5
UNREACHABLE_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class JournalHolder:
    """A host that owns a generation or holds its journal.

    Attributes:
        peer: the host, None for this host.
        found: its description of the journal.
    """

    peer: Peer | None
    found: JournalFound


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Answers of the queried hosts about a generation.

    Attributes:
        holders: hosts that have its journal, the best journal first.
        unreachable: number of hosts that did not answer.
    """

    holders: list[JournalHolder]
    unreachable: int

    def owner(self) -> Peer | None:
        """Return the peer that owns the generation, None if none does."""
        for holder in self.holders:
            if holder.found.owned:
                return holder.peer
        return None

    def best(self, generation: str) -> JournalHolder:
        """Return the holder of the journal to continue from.

        Raises:
            GenerationLostError: no host has the journal.
            PeerUnreachableError: an unreachable host may have it.
        """
        if self.holders:
            return self.holders[0]
        if self.unreachable:
            raise PeerUnreachableError(
                f'hosts that may hold {generation} did not answer',
                retry_after_s=UNREACHABLE_RETRY_AFTER_S,
            )
        raise GenerationLostError(f'no journal of {generation} is left')


class OwnerSearch:
    """Queries the few hosts that may own or hold a generation."""

    def __init__(self, generations: Generations) -> None:
        self.generations = generations

    async def search(self, generation: str) -> SearchResult:
        """Query all possible owners and replicas concurrently."""
        host = self.generations.host
        peers = search_order(generation, host.membership.live())
        others = [peer for peer in peers if peer.name != host.identity.name]
        answers = await asyncio.gather(
            *(self._find_at(peer, generation) for peer in others),
        )
        holders = [
            JournalHolder(peer, answer)
            for peer, answer in zip(others, answers, strict=True)
            if answer is not None and answer.epoch
        ]
        local = self.generations.replicas.logic.find(generation)
        if local.epoch:
            holders.append(JournalHolder(None, local))
        return SearchResult(rank_holders(holders), answers.count(None))

    async def take(self, generation: str, holder: JournalHolder) -> Journal:
        """Take the journal of a holder under a new epoch of this host.

        Raises:
            StaleEpochError: another host took it first.
            NotFoundError: the holder no longer has it.
            PeerUnreachableError: the holder does not answer.
        """
        identity = self.generations.host.identity
        epoch = next_epoch(
            holder.found.epoch,
            identity.name,
            identity.incarnation,
        )
        message = JournalTake(generation, epoch, identity.name)
        if holder.peer is None:
            taken = self.generations.replicas.logic.take(
                message, self.generations.now()
            )
        else:
            taken = await self.generations.host.links.request(
                holder.peer.inner,
                message,
                TAKE_TIMEOUT_S,
            )
        return Journal.from_message(taken)

    async def _find_at(
        self, peer: Peer, generation: str
    ) -> JournalFound | None:
        try:
            return await self.generations.host.links.request(
                peer.inner,
                JournalFind(generation),
                FIND_TIMEOUT_S,
            )
        except CelerywharfError:
            return None


TAKEOVER_RACE_ERRORS = (StaleEpochError, NotFoundError, PeerUnreachableError)


def rank_holders(holders: list[JournalHolder]) -> list[JournalHolder]:
    """Sort holders: highest epoch, then owner, then longest journal first."""
    return sorted(holders, key=_rank_key, reverse=True)


def _rank_key(holder: JournalHolder) -> tuple[int, bool, int]:
    found = holder.found
    return found.epoch, found.owned, found.length
