"""Checks that a caller received one generation, complete and not mixed.

The ground truth is the engines' records of their runs. The text of a run is
its prefix followed by the tokens it generated. A received token is explained
if a run of the generation generated it and the run's text matches everything
received up to and including that token. Then each resume began with exactly
what had been delivered before, and no two runs were spliced.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any


@dataclass(frozen=True, slots=True)
class ReceivedToken:
    """A token as a caller received it."""

    epoch: int
    offset: int
    token: str


@dataclass(slots=True)
class Received:
    """Everything that a caller received of one generation.

    Attributes:
        generation: its id.
        tokens: in order of arrival.
        total: offset in the end event, None if no end event arrived.
    """

    generation: str
    tokens: list[ReceivedToken] = field(default_factory=list)
    total: int | None = None


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """The prefix a run was given, and the tokens it generated after it."""

    generation: str
    prefix: tuple[str, ...]
    output: tuple[str, ...]

    def count_matching(self, sequence: Sequence[str | None]) -> int:
        """Return how many leading tokens of a sequence match this run.

        None in the place of a token matches any token.
        """
        whole = (*self.prefix, *self.output)
        length = min(len(whole), len(sequence))
        for offset in range(length):
            if sequence[offset] not in {None, whole[offset]}:
                return offset
        return length


@dataclass(frozen=True, slots=True)
class Findings:
    """Counts of faulty tokens, and of generations without an end.

    `check` defines lost, repeated and mixed.
    """

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
    """Return the runs of engines' records, which `Fleet.record` returns."""
    return [
        RecordedRun(
            run['generation'], tuple(run['prefix']), tuple(run['tokens'])
        )
        for record in records
        for run in record['runs']
    ]


def check(received: Received, runs: Iterable[RecordedRun]) -> Findings:
    """Return the faults in what a caller received of a generation.

    Lost are offsets below the end (without an end, below the highest received)
    that never arrived. Repeated are offsets that arrived again. Mixed are
    tokens that arrived out of order, with a lower epoch than the token before,
    at or after the end, or that no run explains.
    """
    seen = {token.offset for token in received.tokens}
    total = received.total
    if total is None:
        total = max(seen, default=-1) + 1
    own_runs = [run for run in runs if run.generation == received.generation]
    return Findings(
        lost=len(set(range(total)) - seen),
        repeated=len(received.tokens) - len(seen),
        mixed=_count_out_of_order(received)
        + _count_past_end(seen, total)
        + _count_unexplained(received, own_runs),
        unfinished=int(received.total is None),
    )


def check_all(
    callers: Iterable[Received],
    records: Iterable[dict[str, Any]],
) -> Findings:
    """Return the sum of all callers' faults."""
    runs_by_generation: dict[str, list[RecordedRun]] = {}
    for run in read_runs(records):
        runs_by_generation.setdefault(run.generation, []).append(run)
    findings = [
        check(received, runs_by_generation.get(received.generation, ()))
        for received in callers
    ]
    return sum(findings, Findings())


def _count_past_end(seen: set[int], total: int) -> int:
    return len([offset for offset in seen if offset >= total])


def _count_out_of_order(received: Received) -> int:
    out_of_order = [
        later
        for earlier, later in pairwise(received.tokens)
        if later.epoch < earlier.epoch or later.offset < earlier.offset
    ]
    return len(out_of_order)


def _count_unexplained(received: Received, runs: list[RecordedRun]) -> int:
    tokens_by_offset: dict[int, str] = {}
    contradicting = 0
    for arrived in received.tokens:
        first_token = tokens_by_offset.setdefault(arrived.offset, arrived.token)
        contradicting += first_token != arrived.token
    sequence = [
        tokens_by_offset.get(offset)
        for offset in range(max(tokens_by_offset, default=-1) + 1)
    ]
    explained: set[int] = set()
    for run in runs:
        explained.update(range(len(run.prefix), run.count_matching(sequence)))
    return len(set(tokens_by_offset) - explained) + contradicting
