"""The election of the front that reads the store for its zone."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random

from celerywharf.structures import Address

# The first front that checks the row replaces a failed reader; the jitter keeps
# most fronts from trying at the same time.
CHECK_JITTER_S = 0.4
# How often a reader checks whether another has taken over.  A new reader lends
# its fixed number of retries a retry window after it has taken over.
CHECK_PERIOD_S = 10.0
# A reader that has stood still for this long may have been replaced.
STOP_S = 1.0
FOLLOWER_TIMEOUT_S = 5.0  # several times the request period of the others


@dataclass(frozen=True, slots=True)
class Reader:
    """A zone's reader, as named by the zone's row in the store.

    Attributes:
        address: where it serves the other fronts.
        key: shared secret of the links; proves that the other front has read
            the row.
        version: version of the row.
        settled_era: newest era of the store that had settled when the row was
            written; 0 if it does not say.
    """

    address: Address
    key: bytes
    version: int
    settled_era: int = 0

    def same_process(self, other: Reader | None) -> bool:
        """Return whether two rows name the same process."""
        return other is not None and (
            (self.address, self.key) == (other.address, other.key)
        )


class ElectionStep(enum.Enum):
    """What a front does after it has read the zone's row.

    The names are written to the log.

    Attributes:
        ask: request tables from the reader that the row names.
        read: read the store; the row names this front.
        take_over: write an own row.
    """

    ask = enum.auto()
    read = enum.auto()
    take_over = enum.auto()


class ReaderElection:
    """Decides from the zone's row which front reads the store.

    A reader keeps its role until it finds that it was replaced; the row does
    not expire.  It reads the row each ``CHECK_PERIOD_S`` while it reaches the
    store, so two fronts act as the reader for about that long at most.  A
    front whose reader does not answer reads the store itself and writes its
    own entry on the condition that the row is unchanged, so exactly one front
    wins.

    All times are seconds on the clock of the ``now_s`` arguments.

    Attributes:
        candidate: the entry that this front writes when it takes over.
        reader: the front to request tables from; None while this front reads
            the store itself.
        failed_version: version of the row whose reader did not answer.
        reclaims: this front is the reader, whatever an older copy of the store
            says.
        next_check_s: when to read the row next; None while the reader answers.
        last_request_s: when another front last sent a request, or may have
            begun to rely on this front.
    """

    def __init__(self, candidate: Reader, random: Random) -> None:
        self.candidate = candidate
        self.random = random
        self.reader: Reader | None = None
        self.failed_version: int | None = None
        self.reclaims = False
        self.next_check_s: float | None = 0
        self.last_request_s = float('-inf')

    def check_due(self, now_s: float) -> bool:
        """Return whether the row must be read now."""
        return self.next_check_s is not None and now_s >= self.next_check_s

    def apply_row(self, row: Reader | None, now_s: float) -> ElectionStep:
        """Update the state from the zone's row and return the next step."""
        self.reader = None
        # Others may have read the row already and send requests from now on.
        self.last_request_s = now_s
        self.next_check_s = now_s + CHECK_PERIOD_S
        reclaims = self.reclaims
        self.reclaims = False
        if row is None or row.version == self.failed_version:
            return ElectionStep.take_over
        if row.address == self.candidate.address:
            # A different key: written by an earlier process on this host.
            if row.same_process(self.candidate):
                return ElectionStep.read
            return ElectionStep.take_over
        if reclaims:
            return ElectionStep.take_over
        self.reader = row
        self.next_check_s = None
        return ElectionStep.ask

    def report_failure(self, reader: Reader, now_s: float) -> bool:
        """Stop using a reader that did not answer.

        Returns False, and changes nothing, if it is not the current reader.
        """
        if self.reader is not reader:
            return False
        self.failed_version = reader.version
        self.reader = None
        # This front may become the next reader; it then needs a recent answer
        # from the store, so it polls at the reader's short interval at once.
        self.last_request_s = now_s
        self.next_check_s = now_s + self.random.random() * CHECK_JITTER_S
        return True

    def store_restored(self, now_s: float, *, is_reader: bool) -> None:
        """Record that the store has come back from an older copy.

        Versions of rows are given out again, and the zone's row may be lost or
        name an earlier reader; the reader then writes it again.
        """
        self.failed_version = None
        if is_reader:
            self.reclaims = True
            self.next_check_s = now_s

    def doubt(self, now_s: float) -> None:
        """Record that another front of the zone may act as its reader."""
        if self.reader is None:
            self.next_check_s = now_s

    def slept(self, began_s: float, now_s: float) -> None:
        """Record how long the wait for the next turn has taken.

        If it was much longer than intended, this front has stood still.
        """
        if now_s - began_s > STOP_S:
            self.doubt(now_s)

    def postpone_check(self, now_s: float) -> None:
        """Schedule the next check after the row could not be read."""
        self.next_check_s = now_s + CHECK_JITTER_S * (1 + self.random.random())

    def record_request(self, now_s: float) -> None:
        """Record a request from another front."""
        self.last_request_s = now_s

    def has_followers(self, now_s: float) -> bool:
        """Return whether other fronts may rely on this front's readings."""
        return now_s - self.last_request_s < FOLLOWER_TIMEOUT_S
