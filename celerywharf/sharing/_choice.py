"""Which front of a zone reads the store for the others."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random

from celerywharf.structures import Address

# A failed reader is replaced by the first of those that look; the spread keeps
# most of them from trying at the same moment.
LOOK_SPREAD_S = 0.4
# How often a reader that nobody asks looks whether another has taken over.
UNASKED_LOOK_S = 10.0
ASKED_RECENTLY_S = 5.0  # several times the period at which the others ask


@dataclass(frozen=True, slots=True)
class Reader:
    """The front that a zone's row names.

    Attributes:
        address: where it answers the other fronts.
        key: proves to it that the asker has read the row.
        version: of the row.
    """

    address: Address
    key: bytes
    version: int


class Step(enum.Enum):
    """What to do about a row that was read."""

    ask = enum.auto()
    read = enum.auto()
    take_over = enum.auto()


class ReaderChoice:
    """Decides from the zone's row whom a front asks.

    The row names a reader without a term.  Whoever finds that the one it
    names does not answer reads the store itself and writes its own name under
    the condition that the row is unchanged, so one of them wins.

    Attributes:
        me: the row that this front writes.
        reader: the front that is asked; None while this one reads itself.
        distrusted: version of the row whose front did not answer.
        look_at_s: when the row is to be read next.
    """

    def __init__(self, me: Reader, random: Random) -> None:
        self.me = me
        self.random = random
        self.reader: Reader | None = None
        self.distrusted: int | None = None
        self.look_at_s: float | None = 0
        self.asked_at_s = float('-inf')

    def due(self, now_s: float) -> bool:
        """Tell whether to read the row now."""
        return self.look_at_s is not None and now_s >= self.look_at_s

    def saw(self, row: Reader | None, now_s: float) -> Step:
        """Take the row as it is and say what follows."""
        self.reader = None
        # Others may have read the row already and ask from now on.
        self.asked_at_s = now_s
        self.look_at_s = now_s + UNASKED_LOOK_S
        if row is None or row.version == self.distrusted:
            return Step.take_over
        if row.address == self.me.address:
            # With another key it was written by an earlier process here.
            mine = row.key == self.me.key
            return Step.read if mine else Step.take_over
        self.reader = row
        self.look_at_s = None
        return Step.ask

    def failed(self, reader: Reader, now_s: float) -> bool:
        """Note that a reader did not answer; tell whether that is news."""
        if self.reader is not reader:
            return False
        self.distrusted = reader.version
        self.reader = None
        # It may be the next one, and then has to have heard the store lately.
        self.asked_at_s = now_s
        self.look_at_s = now_s + self.random.random() * LOOK_SPREAD_S
        return True

    def unknown(self, now_s: float) -> None:
        """Note that the store did not say what the row is."""
        self.look_at_s = now_s + LOOK_SPREAD_S * (1 + self.random.random())

    def asked(self, now_s: float) -> None:
        """Note that another front asked this one."""
        self.asked_at_s = now_s
        if self.look_at_s is not None:
            self.look_at_s = max(self.look_at_s, now_s + ASKED_RECENTLY_S)

    def serves(self, now_s: float) -> bool:
        """Tell whether others rely on this front's readings."""
        return now_s - self.asked_at_s < ASKED_RECENTLY_S
