"""Serves messages about journals that this host holds as a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError
from celerywharf.generations._replicas import ReplicaLogic
from celerywharf.wire import Sender
from celerywharf.wire.journals import (
    JournalAppend,
    JournalAppended,
    JournalFind,
    JournalFound,
    JournalOpen,
    JournalPlaced,
    JournalTake,
)

if TYPE_CHECKING:
    from celerywharf.generations._generations import Generations


class Replicas:
    """Answers owners, and hosts that search for an owner."""

    def __init__(self, generations: Generations) -> None:
        self.generations = generations
        self.logic = ReplicaLogic(generations.settings.keep_s)
        links = generations.host.links
        links.subscribe(JournalOpen, self._on_open)
        links.subscribe(JournalPlaced, self._on_placed)
        links.subscribe(JournalAppend, self._on_append)
        links.subscribe(JournalFind, self._on_find)
        links.subscribe(JournalTake, self._on_take)

    def _on_open(self, sender: Sender, message: JournalOpen) -> None:
        self.logic.open(message, self.generations.now())

    def _on_placed(self, sender: Sender, message: JournalPlaced) -> None:
        try:
            self.logic.place(message, self.generations.now())
        except CelerywharfError:
            return

    def _on_append(
        self,
        sender: Sender,
        message: JournalAppend,
    ) -> JournalAppended:
        return self.logic.append(message, self.generations.now())

    def _on_find(self, sender: Sender, message: JournalFind) -> JournalFound:
        owned = self.generations.owned.get(message.generation)
        if owned is None:
            return self.logic.find(message.generation)
        journal = owned.journal
        return JournalFound(
            owned=True,
            epoch=journal.epoch,
            length=len(journal.tokens),
            owner=self.generations.host.identity.name,
        )

    def _on_take(self, sender: Sender, message: JournalTake) -> JournalOpen:
        return self.logic.take(message, self.generations.now())
