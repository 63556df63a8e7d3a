"""Attaches callers to generations, wherever these are owned."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    GenerationLostError,
    NotFoundError,
    PeerUnreachableError,
)
from celerywharf.generations._owned_generation import OwnedGeneration
from celerywharf.generations._owner_search import (
    TAKEOVER_RACE_ERRORS,
    OwnerSearch,
)
from celerywharf.generations._readers import Reader
from celerywharf.generations.journals import Position
from celerywharf.generations.messages import TakenOver
from celerywharf.membership import Peer

if TYPE_CHECKING:
    from celerywharf.generations._generations import Generations

MAX_ATTACH_ROUNDS = 4


class Attachments:
    """Attaches callers to the owner of a generation.

    When no owner is left, this host takes the generation over.

    Attributes:
        owner_search: queries hosts that may hold a generation.
        takeovers: takeovers in progress, by generation.
    """

    def __init__(self, generations: Generations) -> None:
        self.generations = generations
        self.owner_search = OwnerSearch(generations)
        self.takeovers: dict[str, asyncio.Task] = {}

    async def attach(
        self,
        position: Position,
        client_account: str,
        reader: Reader,
    ) -> None:
        """Deliver a generation to a reader from a position on.

        Raises:
            NotFoundError: the generation belongs to another account.
            GenerationLostError: it cannot be continued from the position, or
                its owner kept changing.
            PeerUnreachableError: hosts that may hold it did not answer.
        """
        generation = position.generation
        for _ in range(MAX_ATTACH_ROUNDS):
            owned = self.generations.owned.get(generation)
            if owned is not None:
                _check_account(owned, client_account)
                owned.attach(reader, position)
                return
            if await self._follow_owner(position, client_account, reader):
                return
            await self._take_over(generation)
        raise GenerationLostError(f'{generation} has no stable owner')

    async def _follow_owner(
        self,
        position: Position,
        client_account: str,
        reader: Reader,
    ) -> bool:
        original = self._original_owner(position.generation)
        if await self._follow_at(original, position, client_account, reader):
            return True
        result = await self.owner_search.search(position.generation)
        owner = result.owner()
        if owner == original:
            return False
        return await self._follow_at(owner, position, client_account, reader)

    def _original_owner(self, generation: str) -> Peer | None:
        name = _original_owner_name(generation)
        if name == self.generations.host.identity.name:
            return None
        return self.generations.host.membership.peer(name)

    async def _follow_at(
        self,
        peer: Peer | None,
        position: Position,
        client_account: str,
        reader: Reader,
    ) -> bool:
        if peer is None:
            return False
        try:
            await self.generations.followers.start(
                peer, position, client_account, reader
            )
        except (NotFoundError, PeerUnreachableError):
            return False
        return True

    async def _take_over(self, generation: str) -> None:
        task = self.takeovers.get(generation)
        if task is None:
            task = self.generations.spawn(self._become_owner(generation))
            self.takeovers[generation] = task
            task.add_done_callback(
                lambda _done: self.takeovers.pop(generation, None),
            )
        error = await asyncio.shield(task)
        if error is not None:
            raise error

    async def _become_owner(self, generation: str) -> CelerywharfError | None:
        """Try to become the owner.

        Returns:
            The error that rules out a takeover; None when this host became
            the owner or the caller should look for the owner again.
        """
        result = await self.owner_search.search(generation)
        if result.owner() is not None:
            return None
        try:
            holder = result.best(generation)
        except CelerywharfError as error:
            return error
        try:
            journal = await self.owner_search.take(generation, holder)
        except TAKEOVER_RACE_ERRORS:
            return None
        self.generations.record('generation_taken_over', journal)
        replica = holder.peer.name if holder.peer else ''
        self.generations.become_owner(journal, TakenOver(replica))
        return None


def _original_owner_name(generation: str) -> str:
    # The id is "g-<host name>-<random part>"; the host name may hold dashes.
    words = generation.split('-')
    return '-'.join(words[1:-1])


def _check_account(owned: OwnedGeneration, client_account: str) -> None:
    if owned.journal.spec.client_account != client_account:
        raise NotFoundError(f'no generation {owned.generation}')
