"""Simulated engines, and fronts that place streams on them, without a network.

An engine prefills prompts one after the other, more slowly the more streams it
runs.  Its load reports are slightly out of date.  Not simulated: memory of
engines, failures of zones, backup copies of runs.
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
from celerywharf.limits import Clocks, ServerLimiter, StatedLimits
from celerywharf.structures import Address

# Figures from the load sheets of the platform's users.
PROMPT_TOKENS = 8200
OUTPUT_TOKENS = 910
MEMORY_TOKENS = 88_000
TOKENS_PER_S = 8000  # prefill
EVENTS_PER_STREAM = 130
EVENT_INTERVAL_S = 0.045
SLOTS = 12
REPORT_LAG_S = 0.2
# Part of its speed that prefill loses for each running stream: every event of
# a stream takes a step of 4.23 ms, once in 45 ms.
SLOWDOWN = 0.09
SLOW_SPEED = 0.33  # of a slow engine, relative to a normal one
ZONES = ('a', 'b', 'c')
DEMAND = Demand('narrator', PROMPT_TOKENS + OUTPUT_TOKENS, MEMORY_TOKENS)
CANDIDATES = 2


@dataclass(slots=True)
class Engine:
    """An engine with a queue of prompts.  All times are virtual seconds.

    Attributes:
        name: name of the engine.
        speed: 1 for an engine as fast as in the users' sheets.
        prefill_free_s: when all queued prompts are prefilled.
        end_times_s: when its streams end, in order.
        first_event_times_s: when their first events are sent.
    """

    name: str
    speed: float = 1
    prefill_free_s: float = 0
    end_times_s: deque[float] = field(default_factory=deque)
    first_event_times_s: deque[float] = field(default_factory=deque)

    def start_stream(self, now_s: float) -> tuple[float, float]:
        """Start a stream; return the times of its first event and its end."""
        running = self.count_running(now_s)
        prefill_s = PROMPT_TOKENS / TOKENS_PER_S * (1 + SLOWDOWN * running)
        self.prefill_free_s = (
            max(self.prefill_free_s, now_s) + prefill_s / self.speed
        )
        end_s = (
            self.prefill_free_s
            + EVENTS_PER_STREAM * EVENT_INTERVAL_S / self.speed
        )
        self.first_event_times_s.append(self.prefill_free_s)
        self.end_times_s.append(end_s)
        return self.prefill_free_s, end_s

    def count_unprefilled(self, now_s: float) -> int:
        """Return the number of prompts that are not prefilled."""
        return sum(first_s > now_s for first_s in self.first_event_times_s)

    def count_running(self, now_s: float) -> int:
        """Drop streams that have ended and return the number of the others."""
        while self.end_times_s and self.end_times_s[0] <= now_s:
            self.end_times_s.popleft()
            self.first_event_times_s.popleft()
        return len(self.end_times_s)

    def report(self, now_s: float) -> dict[str, Any]:
        """Return a load report with the prompts as of `REPORT_LAG_S` ago."""
        running = self.count_running(now_s)
        unprefilled = self.count_unprefilled(now_s - REPORT_LAG_S)
        return {
            'queued': 0,
            'running': running,
            'kvUsed': running * DEMAND.tokens,
            'kvTotal': MEMORY_TOKENS,
            'runs': [['', 0, 1, 5] for _ in range(unprefilled, running)],
        }


class EngineCluster:
    """All engines and the virtual clock.

    It stands in for the transport and the timer service of the fronts.

    Attributes:
        now_s: the current virtual time in seconds.
        probes: number of load reports requested.
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
        """Return the virtual time, as a timer service does."""
        return self.now_s

    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Return the load report of the engine in the URL."""
        self.probes += 1
        name = request.url.removeprefix('http://').partition(':')[0]
        report = self.engines[name].report(self.now_s)
        return HttpResponse(HTTPStatus.OK, {}, json.dumps(report).encode())


class Front:
    """A front with its own view of the engines' load."""

    def __init__(self, cluster: EngineCluster, number: int) -> None:
        self.cluster = cluster
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
        limits = ServerLimiter(
            StatedLimits(), None, Clocks(cluster.now, cluster.now)
        )
        self.reports = Reports(cluster, cluster, self.loads, health, limits)
        self.round_robin = itertools.cycle(cluster.engines)
        for _ in range(cluster.random.randrange(len(cluster.engines))):
            next(self.round_robin)
        for index, name in enumerate(cluster.engines):
            self.directory.update(_server(name, ZONES[index % len(ZONES)]), 0)

    def ranked(self) -> list[BackendServer]:
        """Return the engines, best first, by the load this front knows of."""
        return self.placement.ranked(DEMAND, self.cluster.now_s)

    async def place(self, policy: str) -> str:
        """Return the name of the engine that gets the next prompt.

        ``ours`` is the product's policy.  ``own_counts`` ranks by the front's
        own streams without load reports.  Any policy not matched here places
        by perfect knowledge.
        """
        match policy:
            case 'ours':
                best = await self.reports.best(self.ranked, CANDIDATES)
                return best.name
            case 'own_counts':
                return self.ranked()[0].name
            case 'round_robin':
                return next(self.round_robin)
        engines = self.cluster.engines.values()
        return min(
            engines, key=lambda engine: (engine.prefill_free_s, engine.name)
        ).name


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
