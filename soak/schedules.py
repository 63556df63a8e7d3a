"""Which faults come when, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from soak.faults import (
    LINK_HARMS,
    SPOILS,
    STORE_HARMS,
    ChangeKey,
    DrainServer,
    Fault,
    HarmLink,
    HarmStore,
    KillFront,
    KillServer,
    LeaveFront,
    PauseFront,
    PauseServer,
    ReloadFront,
    SpoilServer,
)

SHORTEST_S = 0.2
LONGEST_S = 5.0  # beyond every time-out and lease of a front
GAP_S = 1.0  # mean pause between faults; most of them overlap


@dataclass(frozen=True, slots=True)
class Event:
    """A fault at a time.

    Attributes:
        at_s: seconds from the start of the soak.
        span_s: how long it lasts.
        fault: what happens.
    """

    at_s: float
    span_s: float
    fault: Fault


@dataclass(frozen=True, slots=True)
class Targets:
    """What faults may hit, by name."""

    fronts: tuple[str, ...]
    servers: tuple[str, ...]
    links: tuple[str, ...]


def draw_schedule(seed: int, span_s: float, targets: Targets) -> list[Event]:
    """Return the faults of a seed, in order.

    Args:
        seed: same seed, same faults.
        span_s: faults begin within this many seconds.
        targets: what they may hit.
    """
    random = Random(seed)
    events = []
    at_s = random.expovariate(1 / GAP_S)
    while at_s < span_s:
        span = random.uniform(SHORTEST_S, LONGEST_S)
        events.append(Event(at_s, span, _draw(random, targets)))
        at_s += random.expovariate(1 / GAP_S)
    return events


def _draw(random: Random, targets: Targets) -> Fault:
    front = random.choice(targets.fronts)
    server = random.choice(targets.servers)
    link = random.choice(targets.links)
    return random.choice(
        (
            KillFront(front),
            PauseFront(front),
            LeaveFront(front),
            ReloadFront(front),
            KillServer(server),
            PauseServer(server),
            DrainServer(server),
            SpoilServer(server, *random.choice(SPOILS)),
            HarmLink(link, *random.choice(LINK_HARMS)),
            HarmLink(link, *random.choice(LINK_HARMS)),
            HarmStore(*random.choice(STORE_HARMS)),
            ChangeKey(),
        ),
    )
