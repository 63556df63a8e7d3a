"""Time to the first event by placement policy, simulated in virtual time.

The loads are those of the platform's users.  ARGUMENTs: a policy (ours,
own_counts, round_robin, perfect), streams a second, engines, fronts, slow
engines; without any, all policies run at rising loads.
"""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.emulation import DEMAND, EngineCluster, Front

DURATION_S = 60.0
TARGET_S = 4.5  # time to the first event, from the users' load sheets
POLICIES = ('ours', 'own_counts', 'round_robin', 'perfect')
RATES = (18.0, 30.0, 42.0)  # streams a second; all engines together prefill 58
ENGINES = 60
FRONTS = 59
MAX_WAIT_MS = 600_000
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000
PERCENTILES = (50, 90, 99)


@dataclass(frozen=True, slots=True)
class Load:
    """Load and size of a simulated system.

    Attributes:
        rate: streams a second, over all fronts.
        engines: number of engines.
        fronts: number of fronts, which place streams independently.
        slow: number of engines that take three times as long.
        duration_s: virtual seconds during which streams arrive.
    """

    rate: float = RATES[0]
    engines: int = ENGINES
    fronts: int = FRONTS
    slow: int = 0
    duration_s: float = DURATION_S


@dataclass(frozen=True, slots=True, order=True)
class _StreamEvent:
    """The first event or the end of a stream, due at its front."""

    at_s: float
    number: int
    is_end: bool
    front: Front
    engine: str


class Simulation:
    """A run of one load under one policy.

    Attributes:
        pending: future stream events, a heap by time.
        first_event_waits: histogram of the times to first events in
            milliseconds.
        late: number of streams whose first event took over `TARGET_S`.
        streams: number of all streams.
    """

    def __init__(self, policy: str, seed: int, load: Load) -> None:
        self.policy = policy
        self.load = load
        self.random = Random(seed)
        self.cluster = EngineCluster(load.engines, load.slow, self.random)
        self.fronts = [
            Front(self.cluster, number) for number in range(load.fronts)
        ]
        self.pending: list[_StreamEvent] = []
        self.first_event_waits = HdrHistogram(
            1, MAX_WAIT_MS, SIGNIFICANT_DIGITS
        )
        self.late = 0
        self.streams = 0

    async def run(self) -> dict[str, Any]:
        """Run the simulation and return its figures."""
        while self.cluster.now_s < self.load.duration_s:
            self.cluster.now_s += self.random.expovariate(self.load.rate)
            self._apply_due_events()
            await self._start_stream(self.random.choice(self.fronts))
        percentiles = {
            f'p{percent}_ms': self.first_event_waits.get_value_at_percentile(
                percent
            )
            for percent in PERCENTILES
        }
        return {
            'policy': self.policy,
            'streams': self.streams,
            **percentiles,
            'late': round(self.late / self.streams, 4),
            'probes_a_stream': round(self.cluster.probes / self.streams, 2),
        }

    async def _start_stream(self, front: Front) -> None:
        now_s = self.cluster.now_s
        name = await front.place(self.policy)
        front.loads.started(name, DEMAND.tokens, now_s)
        first_s, end_s = self.cluster.engines[name].start_stream(now_s)
        self.streams += 1
        for at_s, is_end in ((first_s, False), (end_s, True)):
            event = _StreamEvent(at_s, self.streams, is_end, front, name)
            heapq.heappush(self.pending, event)
        wait_s = first_s - now_s
        self.late += wait_s > TARGET_S
        self.first_event_waits.record_value(max(1, round(wait_s * MS_PER_S)))

    def _apply_due_events(self) -> None:
        while self.pending and self.pending[0].at_s <= self.cluster.now_s:
            event = heapq.heappop(self.pending)
            if event.is_end:
                event.front.loads.ended(event.engine, DEMAND.tokens)
            else:
                event.front.loads.prefilled(event.engine)


def simulate(policy: str, seed: int, load: Load) -> dict[str, Any]:
    """Simulate a load under a policy of ``POLICIES`` and return the figures."""
    return asyncio.run(Simulation(policy, seed, load).run())


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Simulate one policy, or all of them at rising loads."""
    if arguments:
        rates = [float(argument) for argument in arguments[1:2]]
        counts = [int(argument) for argument in arguments[2:]]
        return simulate(arguments[0], seed, Load(*rates, *counts))
    return {
        f'{rate} a second': [
            simulate(policy, seed, Load(rate)) for policy in POLICIES
        ]
        for rate in RATES
    }
