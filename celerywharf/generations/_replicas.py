"""What a host decides as replica of other owners' journals."""

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
class Held:
    """A journal held for another host.

    Attributes:
        journal: as far as the owner has sent it.
        owner: name of the owner.
        heard_s: when the owner last wrote.
    """

    journal: Journal
    owner: str
    heard_s: float

    @property
    def epoch(self) -> int:
        """Epoch of the journal's owner."""
        return self.journal.lines[-1].epoch

    def extend(self, offset: int, new: list[str]) -> bool:
        """Append tokens that begin at ``offset``; False leaves a gap.

        Tokens below the end came again with the same epoch, so they are the
        same and only the rest is new.
        """
        tokens = self.journal.tokens
        known = len(tokens) - offset
        if known < 0:
            return False
        tokens += new[known:] if known else new
        return True


class ReplicaLogic:
    """Holds journals; epochs only rise, so an older owner is refused.

    Attributes:
        keep_s: how long a journal is held after its owner's last message.
        held: journals by generation.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.held: dict[str, Held] = {}

    def open(self, message: JournalOpen, now: float) -> None:
        """Begin, or begin again, to hold a journal.

        Raises:
            StaleEpochError: a newer owner is known.
        """
        generation = message.spec.generation
        held = self.held.get(generation)
        epoch = message.lines[-1].epoch
        if held is not None:
            _refuse_below(held.journal.epoch, epoch, generation)
            same = held.journal.epoch == epoch
            if same and len(held.journal.tokens) > len(message.tokens):
                held.heard_s = now
                return
        self.held[generation] = Held(Journal.of(message), message.owner, now)

    def place(self, message: JournalPlaced, now: float) -> None:
        """Note where the latest attempt runs.

        Raises:
            NotFoundError: the journal is not held here.
            StaleEpochError: a newer owner is known.
        """
        held = self._get(message.generation)
        _refuse_below(held.journal.epoch, message.epoch, message.generation)
        held.heard_s = now
        held.journal.attempt = message.attempt
        held.journal.attempt_epoch = message.epoch
        held.journal.backend_server = message.backend_server

    def append(self, message: JournalAppend, now: float) -> JournalAppended:
        """Append tokens of many generations; say which were refused."""
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
                held.heard_s = now
            else:
                answer.unknown.append(generation)
        if message.finish_reasons:
            self._finish(message, {*answer.stale, *answer.unknown})
        return answer

    def find(self, generation: str) -> JournalFound:
        """Tell what is held of a generation."""
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
        """Give a journal to a new owner with a higher epoch.

        Raises:
            NotFoundError: the journal is not held here.
            StaleEpochError: that epoch or a higher one was given before.
        """
        held = self._get(message.generation)
        lowest = held.journal.epoch + 1
        _refuse_below(lowest, message.epoch, message.generation)
        held.journal.begin_epoch(message.epoch)
        held.owner = message.owner
        held.heard_s = now
        return held.journal.message(message.owner)

    def tick(self, now: float) -> None:
        """Drop journals whose owners have been silent for long."""
        oldest = now - self.keep_s
        expired = [
            generation
            for generation, held in self.held.items()
            if held.heard_s < oldest
        ]
        for generation in expired:
            self.held.pop(generation)

    def _finish(self, message: JournalAppend, refused: set[str]) -> None:
        pairs = zip(message.generations, message.finish_reasons, strict=True)
        for generation, reason in pairs:
            if reason and generation not in refused:
                self.held[generation].journal.finish_reason = reason

    def _get(self, generation: str) -> Held:
        held = self.held.get(generation)
        if held is None:
            raise NotFoundError(f'no journal of {generation} here')
        return held


def _refuse_below(lowest: int, epoch: int, generation: str) -> None:
    if epoch < lowest:
        raise StaleEpochError(f'{generation} has a newer owner')
