"""Expected pace of backend servers whose machines are fast by turns."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Container
from dataclasses import dataclass

# Upper bounds of the times between two statements, in seconds.
AGES_S = (0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24)
MIN_PAIRS = 20  # fewer say nothing about a time between statements
PAIRS_KEPT = 500
STATEMENTS_KEPT = 1000
# Before it is known how long statements of servers hold, they do this long.
ASSUMED_AGE_S = 0.3
UNKNOWN_PACE = 1.0


@dataclass(slots=True)
class _Pairs:
    """Pairs of statements.

    ``correlation`` is how far the earlier one predicts the later one, between
    0 and 1; None if there are too few.
    """

    count: float = 0
    products: float = 0
    squares: float = 0
    correlation: float | None = None

    def add(self, earlier: float, later: float) -> None:
        keep = 1 - 1 / PAIRS_KEPT
        self.count = self.count * keep + 1
        self.products = self.products * keep + earlier * later
        self.squares = self.squares * keep + (earlier**2 + later**2) / 2
        if self.count >= MIN_PAIRS and self.squares:
            # Less the error of the sample.
            self.correlation = max(
                0, self.products / self.squares - 1 / math.sqrt(self.count)
            )


@dataclass(slots=True)
class _Statement:
    pace: float
    at_s: float


class Paces:
    """Predicts the pace of a service's servers from what was last known.

    Answers the load of a service whose servers share their machines with
    others: what a server said a moment ago is worth little when the pace
    changes many times a second, and much when a machine stays slow.  How much
    is measured: how well each statement predicted the next one of the same
    server, by the time between them.  The expected pace lies between the
    statement and the mean of all servers accordingly.

    Attributes:
        assumed_age_s: for how long a statement is taken to hold before that has
            been measured; 0 if it is not.
        last: the last statement, by name of the server.
        mean: mean pace of all statements.
        count: statements so far, at most ``STATEMENTS_KEPT``.
        pairs: pairs of consecutive statements, by the time between them.
    """

    def __init__(self, assumed_age_s: float = ASSUMED_AGE_S) -> None:
        self.assumed_age_s = assumed_age_s
        self.last: dict[str, _Statement] = {}
        self.mean = UNKNOWN_PACE
        self.count = 0
        self.pairs = [_Pairs() for _ in AGES_S]

    def record(self, name: str, pace: float, now_s: float) -> None:
        """Record the pace of a server at a moment.

        Args:
            name: name of the server.
            pace: how long work takes there, 1 as usual.
            now_s: monotonic seconds.
        """
        self.count = min(self.count + 1, STATEMENTS_KEPT)
        self.mean += (pace - self.mean) / self.count
        previous = self.last.get(name)
        if previous is not None:
            step = _step(now_s - previous.at_s)
            if step < len(AGES_S):
                self.pairs[step].add(
                    previous.pace - self.mean, pace - self.mean
                )
        self.last[name] = _Statement(pace, now_s)

    def retain(self, names: Container[str]) -> None:
        """Forget the last statements of other servers."""
        self.last = {
            name: statement
            for name, statement in self.last.items()
            if name in names
        }

    def expected(self, name: str, now_s: float, ahead_s: float = 0) -> float:
        """Return the expected pace relative to the mean of all servers.

        Args:
            name: name of the server; 1 is returned if it has stated nothing.
            now_s: monotonic seconds.
            ahead_s: for how long from now the pace is asked.
        """
        statement = self.last.get(name)
        if statement is None:
            return UNKNOWN_PACE
        age_s = now_s - statement.at_s + ahead_s / 2
        known = self.validity(age_s)
        return 1 + known * (statement.pace / self.mean - 1)

    def validity(self, age_s: float) -> float:
        """Return how far a statement of this age holds, between 0 and 1."""
        step = _step(age_s)
        for longer, pairs in zip(AGES_S[step:], self.pairs[step:], strict=True):
            known = pairs.correlation
            if known is None:
                continue
            if longer == AGES_S[step] or age_s > self.assumed_age_s:
                return known
            return 1 - (1 - known) * age_s / longer
        return float(self.is_unmeasured() and age_s <= self.assumed_age_s)

    def is_unmeasured(self) -> bool:
        """Return whether it is not known yet how long statements hold."""
        return all(pairs.correlation is None for pairs in self.pairs)


def _step(age_s: float) -> int:
    return bisect_left(AGES_S, age_s)
