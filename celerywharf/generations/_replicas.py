"""Decisions of a host as a replica of other owners' journals."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import NotFoundError, StaleEpochError
from celerywharf.generations.journals import Journal
from celerywharf.wire.journals import (
    JournalAppend,
    JournalAppended,
    JournalFound,
    JournalOpen,
    JournalPlaced,
    JournalTake,
)


@dataclass(slots=True)
class HeldJournal:
    """A journal held for another host.

    Attributes:
        journal: the journal as far as the owner has sent it.
        owner: name of the owner.
        last_write_s: when the owner last wrote to it.
    """

    journal: Journal
    owner: str
    last_write_s: float

    @property
    def epoch(self) -> int:
        """Epoch of the journal's owner."""
        return self.journal.lines[-1].epoch

    def extend(self, offset: int, new: list[str]) -> bool:
        """Append tokens that begin at ``offset``.

        Tokens that the journal already holds were sent again in the same
        epoch, so they are identical and are skipped.

        Returns:
            False if ``offset`` is beyond the end of the journal; nothing is
            appended then.
        """
        tokens = self.journal.tokens
        overlap = len(tokens) - offset
        if overlap < 0:
            return False
        tokens += new[overlap:] if overlap else new
        return True


class ReplicaLogic:
    """Holds journals, without I/O or reading a clock.

    Epochs only increase, so messages of an older owner are refused.

    Attributes:
        keep_s: how long a journal is held after its owner's last message.
        held: journals by generation.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.held: dict[str, HeldJournal] = {}

    def open(self, message: JournalOpen, now: float) -> None:
        """Store a journal, replacing an older copy.

        A longer journal of the same epoch is kept.

        Raises:
            StaleEpochError: a newer owner is known.
        """
        generation = message.spec.generation
        held = self.held.get(generation)
        epoch = message.lines[-1].epoch
        if held is not None:
            _require_epoch(held.journal.epoch, epoch, generation)
            same = held.journal.epoch == epoch
            if same and len(held.journal.tokens) > len(message.tokens):
                held.last_write_s = now
                return
        self.held[generation] = HeldJournal(
            Journal.from_message(message), message.owner, now
        )

    def place(self, message: JournalPlaced, now: float) -> None:
        """Record where the latest attempt runs.

        Raises:
            NotFoundError: the journal is not held here.
            StaleEpochError: a newer owner is known.
        """
        held = self._get(message.generation)
        _require_epoch(held.journal.epoch, message.epoch, message.generation)
        held.last_write_s = now
        held.journal.attempt = message.attempt
        held.journal.attempt_epoch = message.epoch
        held.journal.backend_server = message.backend_server

    def append(self, message: JournalAppend, now: float) -> JournalAppended:
        """Append tokens of many generations.

        Returns:
            The refused generations: ``stale`` ones have a newer owner,
            ``unknown`` ones are not held here or would have a gap.
        """
        answer = JournalAppended([], [])
        start = 0
        for row, generation in enumerate(message.generations):
            held = self.held.get(generation)
            end = start + message.counts[row]
            new = message.tokens[start:end]
            start = end
            if held is None or held.epoch != message.epochs[row]:
                later = held and held.epoch > message.epochs[row]
                refused = answer.stale if later else answer.unknown
                refused.append(generation)
            elif held.extend(message.offsets[row], new):
                held.last_write_s = now
            else:
                answer.unknown.append(generation)
        if message.finish_reasons:
            self._finish(message, {*answer.stale, *answer.unknown})
        return answer

    def find(self, generation: str) -> JournalFound:
        """Describe the journal of a generation; epoch 0 if none is held."""
        held = self.held.get(generation)
        if held is None:
            return JournalFound(owned=False, epoch=0, length=0, owner='')
        return JournalFound(
            owned=False,
            epoch=held.journal.epoch,
            length=len(held.journal.tokens),
            owner=held.owner,
        )

    def take(self, message: JournalTake, now: float) -> JournalOpen:
        """Hand a journal over to a new owner with a higher epoch.

        Raises:
            NotFoundError: the journal is not held here.
            StaleEpochError: the journal has that epoch or a higher one.
        """
        held = self._get(message.generation)
        lowest = held.journal.epoch + 1
        _require_epoch(lowest, message.epoch, message.generation)
        held.journal.begin_epoch(message.epoch)
        held.owner = message.owner
        held.last_write_s = now
        return held.journal.to_message(message.owner)

    def tick(self, now: float) -> None:
        """Drop journals whose owners were silent for ``keep_s`` seconds."""
        oldest = now - self.keep_s
        expired = [
            generation
            for generation, held in self.held.items()
            if held.last_write_s < oldest
        ]
        for generation in expired:
            self.held.pop(generation)

    def _finish(self, message: JournalAppend, refused: set[str]) -> None:
        pairs = zip(message.generations, message.finish_reasons, strict=True)
        for generation, reason in pairs:
            if reason and generation not in refused:
                self.held[generation].journal.finish_reason = reason

    def _get(self, generation: str) -> HeldJournal:
        held = self.held.get(generation)
        if held is None:
            raise NotFoundError(f'no journal of {generation} is held here')
        return held


def _require_epoch(lowest: int, epoch: int, generation: str) -> None:
    if epoch < lowest:
        raise StaleEpochError(f'{generation} has a newer owner')
