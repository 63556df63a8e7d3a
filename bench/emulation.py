"""Engines with queues of prompts and fronts that place them, no network.

Engines read prompts one after the other; streams that run slow this down.  They
report what they had some time ago.  Left out: memory, zones that fail, copies.
"""

from __future__ import annotations

import itertools
import json
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any

from celerywharf.adapters.transports import HttpRequest, HttpResponse
from celerywharf.backends import (
    BackendServer,
    Demand,
    Directory,
    Loads,
    Placement,
    ServerHealth,
)
from celerywharf.forwarding import Reports
from celerywharf.structures import Address

# From the users' sheets.
PROMPT_TOKENS = 8200
OUTPUT_TOKENS = 910
MEMORY_TOKENS = 88_000
TOKENS_PER_S = 8000  # read of a prompt
EVENTS = 130
EVENT_S = 0.045
SLOTS = 12
REPORT_LAG_S = 0.2
SLOWDOWN = 0.09  # a step of 4.23 ms for each event of a stream beside
SLOW_SPEED = 0.33  # of an engine that is slow
ZONES = ('a', 'b', 'c')
DEMAND = Demand('narrator', PROMPT_TOKENS + OUTPUT_TOKENS, MEMORY_TOKENS)
CANDIDATES = 2


@dataclass(slots=True)
class Engine:
    """An engine with a queue of prompts.

    Attributes:
        name: of the engine.
        speed: 1 for an engine as the sheet has it.
        free_s: when it has read all prompts that it has.
        ends: when its streams end.
        firsts: when their first events come.
    """

    name: str
    speed: float = 1
    free_s: float = 0
    ends: deque[float] = field(default_factory=deque)
    firsts: deque[float] = field(default_factory=deque)

    def take(self, now_s: float) -> tuple[float, float]:
        """Add a stream; return the times of its first event and its end."""
        running = self.running(now_s)
        read_s = PROMPT_TOKENS / TOKENS_PER_S * (1 + SLOWDOWN * running)
        self.free_s = max(self.free_s, now_s) + read_s / self.speed
        end_s = self.free_s + EVENTS * EVENT_S / self.speed
        self.firsts.append(self.free_s)
        self.ends.append(end_s)
        return self.free_s, end_s

    def unread(self, now_s: float) -> int:
        """Return how many prompts are not read."""
        return sum(first_s > now_s for first_s in self.firsts)

    def running(self, now_s: float) -> int:
        """Return how many streams have not ended."""
        while self.ends and self.ends[0] <= now_s:
            self.ends.popleft()
            self.firsts.popleft()
        return len(self.ends)

    def report(self, now_s: float) -> dict[str, Any]:
        """Return what it tells of itself, as it was a moment ago."""
        running = self.running(now_s)
        unread = self.unread(now_s - REPORT_LAG_S)
        return {
            'queued': 0,
            'running': running,
            'kvUsed': running * DEMAND.tokens,
            'kvTotal': MEMORY_TOKENS,
            'runs': [['', 0, 1, 5] for _ in range(unread, running)],
        }


class World:
    """Engines, and the time; fronts ask it for reports.

    Attributes:
        now_s: virtual seconds.
        probes: reports that were asked for.
    """

    def __init__(self, engines: int, slow: int, random: Random) -> None:
        self.random = random
        self.now_s: float = 0
        self.probes = 0
        self.engines = {
            f'e{number}': Engine(
                f'e{number}', SLOW_SPEED if number < slow else 1
            )
            for number in range(engines)
        }

    def now(self) -> float:
        """Return the time, as a timer service does."""
        return self.now_s

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Answer a front that asks for a report."""
        self.probes += 1
        name = request.url.removeprefix('http://').partition(':')[0]
        report = self.engines[name].report(self.now_s)
        return HttpResponse(HTTPStatus.OK, {}, json.dumps(report).encode())


class Front:
    """One front's view of the engines."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.directory = Directory()
        self.loads = Loads()
        health = ServerHealth(self.directory, self.loads)
        zone = ZONES[number % len(ZONES)]
        self.placement = Placement(
            self.directory,
            self.loads,
            health,
            zone,
            dict.fromkeys(ZONES, 'region'),
            Random(number),
        )
        self.reports = Reports(world, world, self.loads, health)
        self.turn = itertools.cycle(world.engines)
        for _ in range(world.random.randrange(len(world.engines))):
            next(self.turn)
        for place, name in enumerate(world.engines):
            self.directory.update(_server(name, ZONES[place % len(ZONES)]), 0)

    def ranked(self) -> list[BackendServer]:
        """Rank the engines by what this front knows."""
        return self.placement.ranked(DEMAND, self.world.now_s)

    async def place(self, policy: str) -> str:
        """Return the name of the engine that gets a prompt."""
        match policy:
            case 'ours':
                best = await self.reports.best(self.ranked, CANDIDATES)
                return best.name
            case 'own_counts':
                return self.ranked()[0].name
            case 'round_robin':
                return next(self.turn)
        engines = self.world.engines.values()
        return min(engines, key=lambda one: (one.free_s, one.name)).name


def _server(name: str, zone: str) -> BackendServer:
    return BackendServer(
        name,
        DEMAND.service,
        Address(name, 1),
        zone,
        slots=SLOTS,
        draining=False,
        born_ms=1,
        sequence=1,
        warm_up_left_s=0,
    )
