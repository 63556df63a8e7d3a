"""Random schedules of faults, determined by a seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from soak.faults import (
    ENDLESS_KINDS,
    LINK_SWITCHES,
    SERVER_SWITCHES,
    STORE_SWITCHES,
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

MIN_FAULT_S = 0.2
MAX_FAULT_S = 5.0  # longer than every time-out and lease of a front
MEAN_INTERVAL_S = 1.0  # between the starts of faults; most overlap


@dataclass(frozen=True, slots=True)
class Event:
    """A scheduled fault.

    Attributes:
        at_s: start, in seconds after the callers started.
        span_s: duration in seconds.
        fault: the fault and its target.
    """

    at_s: float
    span_s: float
    fault: Fault


@dataclass(frozen=True, slots=True)
class Targets:
    """Names of the fronts, servers and links that faults may affect."""

    fronts: tuple[str, ...]
    servers: tuple[str, ...]
    links: tuple[str, ...]


def draw_schedule(seed: int, span_s: float, targets: Targets) -> list[Event]:
    """Return the faults of a seed, ordered by start.

    Args:
        seed: the same seed gives the same faults.
        span_s: faults start within this many seconds.
        targets: names that the faults may affect.
    """
    random = Random(seed)
    events = []
    at_s = random.expovariate(1 / MEAN_INTERVAL_S)
    while at_s < span_s:
        span = random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        events.append(Event(at_s, span, _draw_fault(random, targets)))
        at_s += random.expovariate(1 / MEAN_INTERVAL_S)
    events.append(_draw_endless(seed, span_s, targets))
    return sorted(events, key=lambda event: event.at_s)


def _draw_endless(seed: int, span_s: float, targets: Targets) -> Event:
    """Return a fault in which a server answers without end.

    It is drawn apart, so that the other faults of a seed stay what they were
    when a regression was found.
    """
    random = Random(f'endless {seed}')
    server = random.choice(targets.servers)
    fault = SpoilServer(server, 'endless', random.choice(ENDLESS_KINDS))
    span = random.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return Event(random.uniform(0, span_s), span, fault)


def _draw_fault(random: Random, targets: Targets) -> Fault:
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
            SpoilServer(server, *random.choice(SERVER_SWITCHES)),
            HarmLink(link, *random.choice(LINK_SWITCHES)),
            HarmLink(link, *random.choice(LINK_SWITCHES)),
            HarmStore(*random.choice(STORE_SWITCHES)),
            ChangeKey(),
        ),
    )
