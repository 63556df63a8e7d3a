"""Sends what is new in many journals to their replicas, in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from celerywharf.exceptions import CelerywharfError, StaleEpochError
from celerywharf.generations.journals import Journal
from celerywharf.generations.messages import (
    Message,
    NewerOwner,
    ReplicaLost,
    ReplicaStored,
)
from celerywharf.membership import Peer
from celerywharf.wire.journals import (
    JournalAppend,
    JournalAppended,
    JournalOpen,
    JournalPlaced,
)

if TYPE_CHECKING:
    from celerywharf.generations._part import Generations

GATHER_S = 0.002
LARGEST_BATCH = 2000
APPEND_TIMEOUT_S = 1.0


class Replicated(Protocol):
    """A generation as the channel sees it.

    Attributes:
        journal: what to replicate.
        sent: number of tokens sent so far.
        marked: it waits in the channel already.
    """

    journal: Journal
    sent: int
    marked: bool

    def hear(self, message: Message) -> None:
        """Take a message for the generation's decisions."""

    def on_stored(self, replica: str, offset: int, sent_s: float) -> None:
        """Take note that the replica holds all tokens before ``offset``."""

    def opened(self, peer: Peer, message: JournalOpen, sent_s: float) -> None:
        """Take note that a new replica holds what it was sent."""


class Channel:
    """The way to one replica host, for all generations that use it.

    One request is under way at a time; what arrives meanwhile makes up the
    next, so batches grow with load and one token never waits for long.
    """

    def __init__(self, part: Generations, peer: Peer) -> None:
        self.part = part
        self.peer = peer
        self.waiting: list[Replicated] = []
        self.busy = False

    def mark(self, running: Replicated) -> None:
        """Send what is new of a generation soon."""
        if running.marked:
            return
        running.marked = True
        self.waiting.append(running)
        if not self.busy:
            self.busy = True
            loop = asyncio.get_running_loop()
            loop.call_later(GATHER_S, self._flush)

    def place(self, running: Replicated) -> None:
        """Tell where a generation's attempt runs; may be lost."""
        journal = running.journal
        message = JournalPlaced(
            journal.spec.generation,
            journal.epoch,
            journal.attempt,
            journal.backend_server,
        )
        self.part.host.links.send(self.peer.inner, message)

    def _flush(self) -> None:
        batch = self.waiting[:LARGEST_BATCH]
        self.waiting = self.waiting[LARGEST_BATCH:]
        if not batch:
            self.busy = False
            return
        self.part.spawn(self._exchange(batch))

    async def _exchange(self, batch: list[Replicated]) -> None:
        sent_s = self.part.now()
        message = _gather(batch)
        try:
            answer = await self.part.host.links.request(
                self.peer.inner,
                message,
                APPEND_TIMEOUT_S,
            )
        except CelerywharfError:
            self._lost(batch, sent_s)
        else:
            self._stored(batch, message, answer, sent_s)
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        else:
            self.busy = False

    def _lost(self, batch: list[Replicated], sent_s: float) -> None:
        waiting = self.waiting
        self.waiting = []
        for running in waiting:
            running.marked = False
        for affected in {id(one): one for one in batch + waiting}.values():
            affected.hear(ReplicaLost(self.peer.name, sent_s))

    def _stored(
        self,
        batch: list[Replicated],
        message: JournalAppend,
        answer: JournalAppended,
        sent_s: float,
    ) -> None:
        refused = {*answer.stale, *answer.unknown}
        reasons = message.finish_reasons
        name = self.peer.name
        for row, running in enumerate(batch):
            offset = message.offsets[row] + message.counts[row]
            if refused and message.generations[row] in refused:
                stale = message.generations[row] in answer.stale
                running.hear(NewerOwner() if stale else ReplicaLost(name))
            elif reasons and reasons[row]:
                running.hear(
                    ReplicaStored(name, offset, finished=True, sent_s=sent_s),
                )
            else:
                running.on_stored(name, offset, sent_s)


async def open_replica(
    part: Generations,
    running: Replicated,
    peer: Peer,
) -> None:
    """Send a whole journal to a new replica."""
    sent_s = part.now()
    message = running.journal.message(part.host.identity.name)
    try:
        await part.host.links.request(peer.inner, message, APPEND_TIMEOUT_S)
    except StaleEpochError:
        running.hear(NewerOwner())
        return
    except CelerywharfError:
        running.hear(ReplicaLost(peer.name))
        return
    running.opened(peer, message, sent_s)


def _gather(batch: list[Replicated]) -> JournalAppend:
    message = JournalAppend([], [], [], [], [], [])
    finished = False
    for running in batch:
        journal = running.journal
        running.marked = False
        new = journal.tokens[running.sent :]
        message.generations.append(journal.spec.generation)
        message.epochs.append(journal.lines[-1].epoch)
        message.offsets.append(running.sent)
        message.counts.append(len(new))
        message.tokens.extend(new)
        message.finish_reasons.append(journal.finish_reason)
        finished = finished or bool(journal.finish_reason)
        running.sent += len(new)
    if not finished:
        message.finish_reasons.clear()
    return message
