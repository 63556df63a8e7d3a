"""Journals of generations and the positions of callers in them."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from celerywharf.exceptions import BadRequestError, GenerationLostError
from celerywharf.wire.journals import JournalLine, JournalOpen, JournalSpec

# The low bits of an epoch hold a digest of its owner; see ``next_epoch``.
OWNER_BITS = 16
OWNER_MASK = (1 << OWNER_BITS) - 1
POSITION_PARTS = 3
EPOCH_BITS = 63
OFFSET_BITS = 32


@dataclass(frozen=True, slots=True)
class Position:
    """A caller's position: the ``id`` of the last event it received.

    Attributes:
        generation: id of the generation.
        epoch: epoch of the owner that delivered it, 0 for the beginning.
        offset: number of tokens received.
    """

    generation: str
    epoch: int = 0
    offset: int = 0

    @classmethod
    def parse(cls, text: str) -> Position:
        """Parse ``<generation>.<epoch>.<offset>``.

        Raises:
            BadRequestError: the text is malformed or out of range.
        """
        generation, epoch, offset = _split(text)
        position = cls(generation, int(epoch), int(offset))
        if position.epoch >> EPOCH_BITS or position.offset >> OFFSET_BITS:
            raise BadRequestError('Last-Event-ID is out of range')
        return position

    def __str__(self) -> str:
        """Format the position as ``parse`` expects it."""
        return f'{self.generation}.{self.epoch}.{self.offset}'


@dataclass(slots=True)
class Journal:
    """The replicated state of a generation.

    Attributes:
        spec: the caller's request.
        lines: the epochs and their first offsets, ordered by offset.
        tokens: accepted tokens, indexed by offset.
        finish_reason: empty while the generation runs.
        attempt: number of the latest attempt, 0 before the first.
        attempt_epoch: epoch in which the attempt was started.
        backend_server: name of the server that runs the attempt, or empty.
    """

    spec: JournalSpec
    lines: list[JournalLine]
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ''
    attempt: int = 0
    attempt_epoch: int = 0
    backend_server: str = ''

    @classmethod
    def from_message(cls, message: JournalOpen) -> Journal:
        """Build a journal from a message, copying its lists."""
        return cls(
            message.spec,
            list(message.lines),
            list(message.tokens),
            message.finish_reason,
            message.attempt,
            message.attempt_epoch,
            message.backend_server,
        )

    @property
    def epoch(self) -> int:
        """Epoch of the current owner."""
        return self.lines[-1].epoch

    @property
    def complete(self) -> bool:
        """Whether the journal holds all requested tokens."""
        return len(self.tokens) >= self.spec.max_tokens

    def to_message(self, owner: str) -> JournalOpen:
        """Return the whole journal as a message from ``owner``."""
        return JournalOpen(
            self.spec,
            owner,
            list(self.lines),
            list(self.tokens),
            self.finish_reason,
            self.attempt,
            self.attempt_epoch,
            self.backend_server,
        )

    def begin_epoch(self, epoch: int) -> None:
        """Start a new owner's epoch after the current tokens."""
        self.lines.append(JournalLine(epoch, len(self.tokens)))

    def check_position(self, position: Position) -> None:
        """Check that the caller's tokens are a prefix of this journal.

        An epoch that is not in the journal belongs to an owner whose tokens
        are unknown here, so any offset above 0 is refused.

        Raises:
            GenerationLostError: the caller may have received other tokens.
        """
        if position.offset == 0:
            return
        if position.offset > self._end_of(position.epoch):
            raise GenerationLostError(
                f'{position} is not in the journal of the generation',
            )

    def _end_of(self, epoch: int) -> int:
        ends = [line.offset for line in self.lines[1:]]
        ends.append(len(self.tokens))
        for line, end in zip(self.lines, ends, strict=True):
            if line.epoch == epoch:
                return end
        return -1


def next_epoch(epoch: int, owner: str, incarnation: int) -> int:
    """Return an epoch above ``epoch`` that no other owner would choose.

    Two hosts that take over from different replicas during a network
    partition choose different epochs, so a position always identifies the
    owner whose tokens it counts.
    """
    digest = xxhash.xxh32_intdigest(f'{owner}\0{incarnation}'.encode())
    return ((epoch >> OWNER_BITS) + 1) << OWNER_BITS | (digest & OWNER_MASK)


def _split(text: str) -> list[str]:
    parts = text.strip().rsplit('.', POSITION_PARTS - 1)
    numbers = parts[1:]
    readable = all(part.isascii() and part.isdigit() for part in numbers)
    if readable and len(parts) == POSITION_PARTS and parts[0]:
        return parts
    raise BadRequestError(
        'Last-Event-ID must be <generation>.<epoch>.<offset>',
    )
