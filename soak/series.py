"""Series of kills beside malformed and large documents, from a seed."""

from __future__ import annotations

from random import Random

from soak.entries import (
    MAX_ENTRY_BYTES,
    EnlargeEntries,
    draw_priority,
    draw_writing,
)
from soak.faults import Fault, KillFronts, KillReaders
from soak.schedules import MAX_FAULT_S, MIN_FAULT_S, Event

ENLARGE_PROBABILITY = 0.5
MALFORM_PROBABILITY = 0.5
MAX_KILLS = 3
KILLED_FRONTS = 3


def draw_series(
    seed: int, span_s: float, fronts: tuple[str, ...]
) -> list[Event]:
    """Return a series of kills, and the documents written before or meanwhile.

    Args:
        seed: the same seed gives the same series.
        span_s: faults start within this many seconds.
        fronts: names of the fronts that may be killed.
    """
    random = Random(f'series {seed}')
    documents: list[Fault] = [draw_writing(random)]
    if random.random() < ENLARGE_PROBABILITY:
        documents.append(EnlargeEntries(random.randint(0, MAX_ENTRY_BYTES)))
    if random.random() < MALFORM_PROBABILITY:
        documents.append(draw_priority(random))
    kills = [
        _draw_kill(random, fronts) for _ in range(random.randint(1, MAX_KILLS))
    ]
    return [
        *(_draw_event(random, span_s / 2, fault) for fault in documents),
        *(_draw_event(random, span_s, fault) for fault in kills),
    ]


def _draw_kill(random: Random, fronts: tuple[str, ...]) -> Fault:
    sample = tuple(random.sample(fronts, KILLED_FRONTS))
    return random.choice(
        (KillFronts(fronts), KillFronts(sample), KillReaders())
    )


def _draw_event(random: Random, span_s: float, fault: Fault) -> Event:
    at_s = random.uniform(0, span_s)
    return Event(at_s, random.uniform(MIN_FAULT_S, MAX_FAULT_S), fault)
