"""How old a host's knowledge of a table may become.

A change of a table is in force everywhere within a bound that counts from the
store's acknowledgement.  Knowledge is therefore dated by the store's answer,
however many hosts have passed it on, and each wait takes from the time left.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Changes have 2.5 s to take effect.  The difference is for the call by which a
# host replaces what may be outdated.
MAX_AGE_S = 2.2
READER_WAIT_S = 0.8  # how long the reader may wait for a change
READER_ANSWER_SLACK_S = 0.5  # for a round trip in the zone and a busy reader
MIN_INQUIRY_S = 0.05
MAX_LATENESS_S = 0.2  # of a time-out, in a process that ran all the time
MIN_POLL_SLACK_S = 0.2  # answers normally take a few milliseconds
# Time-out of a call on a new connection that replaces outdated knowledge.
FRESH_CALL_TIMEOUT_S = 0.3
# While a reader receives a large answer of the store, hosts that called the
# store as well would only make it slower.
HOLD_S = 1.2
MAX_HOLD_S = 3.0


@dataclass(slots=True)
class Freshness:
    """As of when a table is known.

    Attributes:
        confirmed_s: all changes that the store acknowledged before this time
            are known; None before the first reading.
        held_until_s: the reader is receiving what is newer.
    """

    confirmed_s: float | None = None
    held_until_s: float = -math.inf

    def confirm(self, answered_s: float) -> None:
        """Record that the store gave an answer at a time."""
        if self.confirmed_s is None or answered_s > self.confirmed_s:
            self.confirmed_s = answered_s

    def hold(self, now_s: float) -> None:
        """Record that the reader is receiving what is newer."""
        self.held_until_s = now_s + HOLD_S

    def ends_s(self) -> float:
        """Return when what is known becomes too old, if nobody is slow."""
        if self.confirmed_s is None:
            return math.inf
        return self.confirmed_s + MAX_AGE_S

    def left_s(self, now_s: float) -> float:
        """Return how long the table may still be relied on.

        Without a reading there is nothing that could be outdated.
        """
        if self.confirmed_s is None:
            return math.inf
        ends_s = self.ends_s()
        held_s = min(self.held_until_s, ends_s + MAX_HOLD_S)
        return max(ends_s, held_s) - now_s


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A question to the zone's reader.

    Attributes:
        wait_s: how long the reader may wait for a change.
        timeout_s: time-out of the question.
        conclusive: a reader that does not answer in time has failed.
    """

    wait_s: float
    timeout_s: float
    conclusive: bool

    def shows_failure(self, waited_s: float) -> bool:
        """Return whether a reader that has not answered has failed.

        A host that stood still has not seen what arrived meanwhile.

        Args:
            waited_s: how long this host has waited.
        """
        return self.conclusive and waited_s < self.timeout_s + MAX_LATENESS_S


def plan_inquiry(left_s: float) -> Inquiry | None:
    """Return the next question to the reader; None if there is no time for one.

    Args:
        left_s: how long the table may still be relied on.
    """
    if left_s < MIN_INQUIRY_S:
        return None
    wait_s = min(READER_WAIT_S, max(left_s - READER_ANSWER_SLACK_S, left_s / 2))
    return Inquiry(
        wait_s,
        min(wait_s + READER_ANSWER_SLACK_S, left_s),
        conclusive=left_s >= 2 * READER_ANSWER_SLACK_S,
    )


@dataclass(frozen=True, slots=True)
class Poll:
    """A long poll of the store.

    Attributes:
        wait_s: how long the store may wait for a change.
        slack_s: time allowed beyond that.
        fresh_connection: whether to use a new connection, as others may be
            silent.
    """

    wait_s: float
    slack_s: float
    fresh_connection: bool = False


IMMEDIATE_POLL = Poll(0, FRESH_CALL_TIMEOUT_S, fresh_connection=True)


def plan_poll(left_s: float, wait_s: float, slack_s: float) -> Poll:
    """Return the next call to the store.

    Args:
        left_s: how long the table may still be relied on.
        wait_s: longest wait for a change.
        slack_s: time allowed beyond the wait, at most.
    """
    wait_s = min(wait_s, left_s - MIN_POLL_SLACK_S)
    if wait_s <= 0:
        return IMMEDIATE_POLL
    return Poll(wait_s, min(slack_s, left_s - wait_s))
