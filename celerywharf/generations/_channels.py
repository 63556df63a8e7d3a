"""Sends new tokens of many journals to their replicas in batches."""

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
    from celerywharf.generations._generations import Generations

# Tokens that arrive within this time are sent in one request.
BATCH_DELAY_S = 0.002
MAX_BATCH_GENERATIONS = 2000
APPEND_TIMEOUT_S = 1.0


class Replicated(Protocol):
    """The part of an owned generation that a channel uses.

    Attributes:
        journal: the journal to replicate.
        sent: number of tokens sent so far.
        queued: the generation is queued in the channel.
    """

    journal: Journal
    sent: int
    queued: bool

    def process(self, message: Message) -> None:
        """Handle a message and carry out the resulting actions."""

    def on_stored(self, replica: str, offset: int, sent_s: float) -> None:
        """Handle an acknowledgement of all tokens before ``offset``."""

    def on_replica_opened(
        self, peer: Peer, message: JournalOpen, sent_s: float
    ) -> None:
        """Handle a new replica that holds the journal it was sent."""


class ReplicaChannel:
    """A channel to one replica host, shared by all generations.

    One request is in flight at a time.  Tokens that arrive meanwhile form
    the next batch, so batches grow with load and no token waits for long.
    """

    def __init__(self, generations: Generations, peer: Peer) -> None:
        self.generations = generations
        self.peer = peer
        self.waiting: list[Replicated] = []
        self.busy = False

    def enqueue(self, owned: Replicated) -> None:
        """Schedule a generation's new tokens for the next batch."""
        if owned.queued:
            return
        owned.queued = True
        self.waiting.append(owned)
        if not self.busy:
            self.busy = True
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_DELAY_S, self._flush)

    def send_placement(self, owned: Replicated) -> None:
        """Send the placement of a generation's attempt, best effort."""
        journal = owned.journal
        message = JournalPlaced(
            journal.spec.generation,
            journal.epoch,
            journal.attempt,
            journal.backend_server,
        )
        self.generations.host.links.send(self.peer.inner, message)

    def _flush(self) -> None:
        batch = self.waiting[:MAX_BATCH_GENERATIONS]
        self.waiting = self.waiting[MAX_BATCH_GENERATIONS:]
        if not batch:
            self.busy = False
            return
        self.generations.spawn(self._exchange(batch))

    async def _exchange(self, batch: list[Replicated]) -> None:
        sent_s = self.generations.now()
        message = _build_append(batch)
        try:
            answer = await self.generations.host.links.request(
                self.peer.inner,
                message,
                APPEND_TIMEOUT_S,
            )
        except CelerywharfError:
            self._report_lost(batch, sent_s)
        else:
            self._report_stored(batch, message, answer, sent_s)
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        else:
            self.busy = False

    def _report_lost(self, batch: list[Replicated], sent_s: float) -> None:
        waiting = self.waiting
        self.waiting = []
        for owned in waiting:
            owned.queued = False
        for affected in {
            id(entry): entry for entry in batch + waiting
        }.values():
            affected.process(ReplicaLost(self.peer.name, sent_s))

    def _report_stored(
        self,
        batch: list[Replicated],
        message: JournalAppend,
        answer: JournalAppended,
        sent_s: float,
    ) -> None:
        refused = {*answer.stale, *answer.unknown}
        reasons = message.finish_reasons
        name = self.peer.name
        for row, owned in enumerate(batch):
            offset = message.offsets[row] + message.counts[row]
            if refused and message.generations[row] in refused:
                stale = message.generations[row] in answer.stale
                owned.process(NewerOwner() if stale else ReplicaLost(name))
            elif reasons and reasons[row]:
                owned.process(
                    ReplicaStored(name, offset, finished=True, sent_s=sent_s),
                )
            else:
                owned.on_stored(name, offset, sent_s)


async def open_replica(
    generations: Generations,
    owned: Replicated,
    peer: Peer,
) -> None:
    """Send the whole journal of a generation to a new replica."""
    sent_s = generations.now()
    message = owned.journal.to_message(generations.host.identity.name)
    try:
        await generations.host.links.request(
            peer.inner, message, APPEND_TIMEOUT_S
        )
    except StaleEpochError:
        owned.process(NewerOwner())
        return
    except CelerywharfError:
        owned.process(ReplicaLost(peer.name))
        return
    owned.on_replica_opened(peer, message, sent_s)


def _build_append(batch: list[Replicated]) -> JournalAppend:
    message = JournalAppend([], [], [], [], [], [])
    finished = False
    for owned in batch:
        journal = owned.journal
        owned.queued = False
        new = journal.tokens[owned.sent :]
        message.generations.append(journal.spec.generation)
        message.epochs.append(journal.lines[-1].epoch)
        message.offsets.append(owned.sent)
        message.counts.append(len(new))
        message.tokens.extend(new)
        message.finish_reasons.append(journal.finish_reason)
        finished = finished or bool(journal.finish_reason)
        owned.sent += len(new)
    if not finished:
        message.finish_reasons.clear()
    return message
