"""Says whether what a caller received is one whole, unmixed generation.

The ground truth is what engines recorded of their runs. A run with a prefix
stands for the prefix followed by its own tokens. A received token is explained
when some run of the generation agrees with everything received up to and with
that token, and made it itself: then each resume began with exactly what had
been delivered before, and no two runs were spliced.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any


@dataclass(frozen=True, slots=True)
class ReceivedToken:
    """A token as a caller got it, in the order of arrival."""

    epoch: int
    offset: int
    token: str


@dataclass(slots=True)
class Received:
    """All that a caller got of one generation.

    `total` is the offset that the end event told, or nothing without one.
    """

    generation: str
    tokens: list[ReceivedToken] = field(default_factory=list)
    total: int | None = None


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """What an engine began with, and the tokens it made after that."""

    generation: str
    prefix: tuple[str, ...]
    output: tuple[str, ...]

    def count_agreeing(self, line: Sequence[str | None]) -> int:
        """Return how many leading tokens of a line this run agrees with.

        Nothing in the place of a token agrees with any.
        """
        whole = (*self.prefix, *self.output)
        length = min(len(whole), len(line))
        for offset in range(length):
            if line[offset] not in {None, whole[offset]}:
                return offset
        return length


@dataclass(frozen=True, slots=True)
class Findings:
    """Faults in tokens; `unfinished` counts generations without an end."""

    lost: int = 0
    repeated: int = 0
    mixed: int = 0
    unfinished: int = 0

    @property
    def is_clean(self) -> bool:
        """Whether nothing is lost, repeated or mixed."""
        return not (self.lost or self.repeated or self.mixed)

    def __add__(self, other: 'Findings') -> 'Findings':
        return Findings(
            lost=self.lost + other.lost,
            repeated=self.repeated + other.repeated,
            mixed=self.mixed + other.mixed,
            unfinished=self.unfinished + other.unfinished,
        )


def read_runs(records: Iterable[dict[str, Any]]) -> list[RecordedRun]:
    """Return the runs of all engines' records, as `Fleet.record` gives them."""
    return [
        RecordedRun(
            run['generation'], tuple(run['prefix']), tuple(run['tokens'])
        )
        for record in records
        for run in record['runs']
    ]


def check(received: Received, runs: Iterable[RecordedRun]) -> Findings:
    """Return the faults in what a caller received of a generation.

    Lost are offsets below the end (without one, below the highest received)
    that never came, repeated those that came again, and mixed the tokens that
    came out of order, in a lower epoch than before, or that no run explains.
    """
    seen = {one.offset for one in received.tokens}
    total = received.total
    if total is None:
        total = max(seen, default=-1) + 1
    own_runs = [run for run in runs if run.generation == received.generation]
    return Findings(
        lost=len(set(range(total)) - seen),
        repeated=len(received.tokens) - len(seen),
        mixed=_count_disordered(received)
        + _count_beyond(seen, total)
        + _count_unexplained(received, own_runs),
        unfinished=int(received.total is None),
    )


def check_all(
    callers: Iterable[Received],
    records: Iterable[dict[str, Any]],
) -> Findings:
    """Return the sum of all callers' faults."""
    by_generation: dict[str, list[RecordedRun]] = {}
    for run in read_runs(records):
        by_generation.setdefault(run.generation, []).append(run)
    each = [
        check(received, by_generation.get(received.generation, ()))
        for received in callers
    ]
    return sum(each, Findings())


def _count_beyond(seen: set[int], total: int) -> int:
    return len([offset for offset in seen if offset >= total])


def _count_disordered(received: Received) -> int:
    disordered = [
        later
        for earlier, later in pairwise(received.tokens)
        if later.epoch < earlier.epoch or later.offset < earlier.offset
    ]
    return len(disordered)


def _count_unexplained(received: Received, runs: list[RecordedRun]) -> int:
    by_offset: dict[int, str] = {}
    contradicting = 0
    for arrived in received.tokens:
        kept = by_offset.setdefault(arrived.offset, arrived.token)
        contradicting += kept != arrived.token
    line = [
        by_offset.get(offset)
        for offset in range(max(by_offset, default=-1) + 1)
    ]
    explained: set[int] = set()
    for run in runs:
        explained.update(range(len(run.prefix), run.count_agreeing(line)))
    return len(set(by_offset) - explained) + contradicting
