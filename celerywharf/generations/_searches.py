"""Finds a generation's owner or, when there is none, becomes it."""

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
    from celerywharf.generations._part import Generations

FIND_TIMEOUT_S = 0.3
TAKE_TIMEOUT_S = 0.5
UNREACHABLE_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Holder:
    """A host that knows a generation; ``peer`` is None for this host."""

    peer: Peer | None
    found: JournalFound


@dataclass(frozen=True, slots=True)
class Survey:
    """What the asked hosts know of a generation.

    Attributes:
        holders: those that know it, the best journal first.
        unreachable: number of hosts that did not answer.
    """

    holders: list[Holder]
    unreachable: int

    def owner(self) -> Peer | None:
        """Return the host that says it owns the generation."""
        for holder in self.holders:
            if holder.found.owned:
                return holder.peer
        return None

    def best(self, generation: str) -> Holder:
        """Return the holder of the journal to go on from.

        Raises:
            GenerationLostError: nobody has a journal.
            PeerUnreachableError: somebody unreachable may have one.
        """
        if self.holders:
            return self.holders[0]
        if self.unreachable:
            raise PeerUnreachableError(
                f'hosts that may know {generation} do not answer',
                retry_after_s=UNREACHABLE_RETRY_AFTER_S,
            )
        raise GenerationLostError(f'no journal of {generation} is left')


class Searches:
    """Asks the few hosts that may know a generation."""

    def __init__(self, part: Generations) -> None:
        self.part = part

    async def survey(self, generation: str) -> Survey:
        """Ask owner and replica candidates at once."""
        host = self.part.host
        peers = search_order(generation, host.membership.live())
        others = [peer for peer in peers if peer.name != host.identity.name]
        answers = await asyncio.gather(
            *(self._ask(peer, generation) for peer in others),
        )
        holders = [
            Holder(peer, answer)
            for peer, answer in zip(others, answers, strict=True)
            if answer is not None and answer.epoch
        ]
        own = self.part.replicas.logic.find(generation)
        if own.epoch:
            holders.append(Holder(None, own))
        return Survey(rank(holders), answers.count(None))

    async def take(self, generation: str, holder: Holder) -> Journal:
        """Become owner with the journal of a holder.

        Raises:
            StaleEpochError: another host was faster.
            NotFoundError: the holder has lost it meanwhile.
            PeerUnreachableError: the holder does not answer.
        """
        identity = self.part.host.identity
        epoch = next_epoch(
            holder.found.epoch,
            identity.name,
            identity.incarnation,
        )
        message = JournalTake(generation, epoch, identity.name)
        if holder.peer is None:
            taken = self.part.replicas.logic.take(message, self.part.now())
        else:
            taken = await self.part.host.links.request(
                holder.peer.inner,
                message,
                TAKE_TIMEOUT_S,
            )
        return Journal.of(taken)

    async def _ask(self, peer: Peer, generation: str) -> JournalFound | None:
        try:
            return await self.part.host.links.request(
                peer.inner,
                JournalFind(generation),
                FIND_TIMEOUT_S,
            )
        except CelerywharfError:
            return None


RACED = (StaleEpochError, NotFoundError, PeerUnreachableError)


def rank(holders: list[Holder]) -> list[Holder]:
    """Sort holders: highest epoch, then owner, then longest journal first."""
    return sorted(holders, key=_quality, reverse=True)


def _quality(holder: Holder) -> tuple[int, bool, int]:
    found = holder.found
    return found.epoch, found.owned, found.length
