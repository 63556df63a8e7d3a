"""Lets callers read a generation, whoever owns it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    GenerationLostError,
    NotFoundError,
    PeerUnreachableError,
)
from celerywharf.generations._readers import Reader
from celerywharf.generations._running import Running
from celerywharf.generations._searches import RACED, Searches
from celerywharf.generations.journals import Position
from celerywharf.generations.messages import TakenOver
from celerywharf.membership import Peer

if TYPE_CHECKING:
    from celerywharf.generations._part import Generations

ATTACH_ROUNDS = 4


class Entrance:
    """Finds the owner of a generation, or makes this host its owner.

    Attributes:
        searches: questions to the hosts that may know a generation.
        taking: takeovers under way by generation.
    """

    def __init__(self, part: Generations) -> None:
        self.part = part
        self.searches = Searches(part)
        self.taking: dict[str, asyncio.Task] = {}

    async def attach(
        self,
        position: Position,
        client_account: str,
        reader: Reader,
    ) -> None:
        """Deliver a generation to a caller, whoever owns it.

        Raises:
            NotFoundError: the generation belongs to another account.
            GenerationLostError: it cannot be continued from the position.
            PeerUnreachableError: hosts that may know it do not answer.
        """
        generation = position.generation
        for _ in range(ATTACH_ROUNDS):
            running = self.part.running.get(generation)
            if running is not None:
                _check_account(running, client_account)
                running.attach(reader, position)
                return
            if await self._follow(position, client_account, reader):
                return
            await self._take_over(generation)
        raise GenerationLostError(f'{generation} has no stable owner')

    async def _follow(
        self,
        position: Position,
        client_account: str,
        reader: Reader,
    ) -> bool:
        first = self._first_owner(position.generation)
        if await self._follow_at(first, position, client_account, reader):
            return True
        survey = await self.searches.survey(position.generation)
        owner = survey.owner()
        if owner == first:
            return False
        return await self._follow_at(owner, position, client_account, reader)

    def _first_owner(self, generation: str) -> Peer | None:
        name = _owner_name(generation)
        if name == self.part.host.identity.name:
            return None
        return self.part.host.membership.peer(name)

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
            await self.part.follows.start(
                peer, position, client_account, reader
            )
        except (NotFoundError, PeerUnreachableError):
            return False
        return True

    async def _take_over(self, generation: str) -> None:
        task = self.taking.get(generation)
        if task is None:
            task = self.part.spawn(self._take(generation))
            self.taking[generation] = task
            task.add_done_callback(
                lambda _done: self.taking.pop(generation, None),
            )
        error = await asyncio.shield(task)
        if error is not None:
            raise error

    async def _take(self, generation: str) -> CelerywharfError | None:
        """Try to become owner; return the error that says it is hopeless."""
        survey = await self.searches.survey(generation)
        if survey.owner() is not None:
            return None
        try:
            holder = survey.best(generation)
        except CelerywharfError as error:
            return error
        try:
            journal = await self.searches.take(generation, holder)
        except RACED:
            return None
        self.part.record('generation_taken_over', journal)
        replica = holder.peer.name if holder.peer else ''
        self.part.own(journal, TakenOver(replica))
        return None


def _owner_name(generation: str) -> str:
    words = generation.split('-')
    return '-'.join(words[1:-1])


def _check_account(running: Running, client_account: str) -> None:
    if running.journal.spec.client_account != client_account:
        raise NotFoundError(f'no generation {running.generation}')
