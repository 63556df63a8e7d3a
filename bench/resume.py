"""How long callers wait when engines and hosts fail, and what it costs.

Words: none.  With ``--policy baseline`` the callers use engines directly in
the simplest correct-looking way: run again from the start elsewhere and drop
what was sent.  The product's figures come with the baseline's in one call.
"""

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.baselines import Rerunner, rerun_all
from bench.rigs import Place
from bench.zones import WORKING, Zones
from standins.callers import Caller
from standins.checking import Findings
from standins.launching import Fleet

POLICIES = ('patient', 'eager')
BASELINE = 'baseline'
INTERVAL_MS = 10
PREFILL_MS = 50
CALLERS = 16
TOKENS = 150
STRIKE_S = (0.5, 0.9)
ROUNDS = {'engine killed': 4, 'engine frozen': 2, 'host killed': 2}
JOIN_S = 25
MS_PER_S = 1000
LEAST_GAP_MS = 3 * INTERVAL_MS
MEDIAN = 0.5
TAIL = 0.99
FAR = Place(region='region-b', availability_zone='zone-b1', ip='127.0.3.1')


@dataclass(slots=True)
class Outcome:
    """What a batch of callers went through.

    Attributes:
        silences_ms: of the callers that a failure struck.
        delivered: tokens that callers got.
        computed: tokens that engines computed for them.
        far_bytes: bytes to and from the other region.
        duration_s: seconds it took.
        findings: faults by the engines' records.
        generations: number of callers.
    """

    silences_ms: list[float] = field(default_factory=list)
    delivered: int = 0
    computed: int = 0
    far_bytes: int = 0
    duration_s: float = 0
    findings: Findings = field(default_factory=Findings)
    generations: int = 0

    @property
    def work_ratio(self) -> float:
        """Tokens computed for one token delivered."""
        return self.computed / max(1, self.delivered)

    @property
    def far_rate(self) -> float:
        """Bytes a second to and from the other region, 1 at least."""
        return max(1, self.far_bytes / self.duration_s)

    def __iadd__(self, other: 'Outcome') -> 'Outcome':
        self.silences_ms += other.silences_ms
        self.delivered += other.delivered
        self.computed += other.computed
        self.far_bytes += other.far_bytes
        self.duration_s += other.duration_s
        self.findings += other.findings
        self.generations += other.generations
        return self


class Trial:
    """One policy on a started system."""

    def __init__(self, zones: Zones, rng: Random) -> None:
        self.zones = zones
        self.rng = rng

    def play(self, kind: str) -> Outcome:
        """Let callers run through one failure, or through none."""
        zones = self.zones
        before = (self._far_bytes(), time.monotonic())
        callers = [
            zones.caller('abcd'[number % 4 :] + 'abcd'[: number % 4], TOKENS)
            for number in range(CALLERS)
        ]
        time.sleep(self.rng.uniform(*STRIKE_S))
        struck_s, struck = self._strike(kind, callers)
        for reading in callers:
            reading.join(JOIN_S)
        after = (self._far_bytes(), time.monotonic())
        # A frozen engine tells its work once it is awake.
        zones.restore()
        outcome = look(self.zones, callers)
        outcome.silences_ms = [
            silence_ms(caller, struck_s, kind) for caller in struck
        ]
        outcome.far_bytes = after[0] - before[0]
        outcome.duration_s = after[1] - before[1]
        return outcome

    def _strike(
        self,
        kind: str,
        callers: list[Caller],
    ) -> tuple[float, list[Caller]]:
        zones = self.zones
        if kind == 'engine killed':
            return self._strike_engine(callers, zones.kill_engine)
        if kind == 'engine frozen':
            return self._strike_engine(callers, zones.fleet.pause)
        struck_s = time.monotonic()
        if kind == 'host killed':
            host = self.rng.choice(sorted(zones.hosts))
            zones.fleet.kill(host)
            address = zones.hosts[host]
            return struck_s, [
                one for one in callers if one.options.addresses[0] == address
            ]
        return struck_s, []

    def _strike_engine(self, callers: list[Caller], strike: Any) -> Any:
        working = {
            run['generation']: run['engine']
            for run in self.zones.runs()
            if run.get('state') in WORKING
        }
        engine = self.rng.choice(sorted(set(working.values())))
        strike(engine)
        struck = [
            caller
            for caller in callers
            if working.get(caller.history.received.generation) == engine
        ]
        return time.monotonic(), struck

    def _far_bytes(self) -> int:
        told = [self.zones.fleet.record(name) for name in ('f-link', 'far')]
        counts = [
            sum(one[way].values())
            for one in told
            for way in ('sent_bytes', 'received_bytes')
        ]
        return sum(counts)


def run(seed: int, words: Sequence[str]) -> dict[str, Any]:
    """Measure one policy and, beside it, the baseline."""
    policy = words[0] if words else POLICIES[0]
    with Fleet() as fleet:
        zones = Zones(
            fleet,
            policy if policy in POLICIES else POLICIES[0],
            token_interval_ms=INTERVAL_MS,
            prefill_ms=PREFILL_MS,
        )
        baseline = measure_baseline(zones, Random(seed))
        if policy == BASELINE:
            return {'policy': policy, **baseline}
        add_far_region(zones)
        zones.start_hosts()
        zones.rig.add_linked_host('f', FAR)
        told = measure(Trial(zones, Random(seed)))
    return {
        'policy': policy,
        **told,
        **{f'baseline_{name}': figure for name, figure in baseline.items()},
    }


def add_far_region(zones: Zones) -> None:
    """Add a host and an engine in another region, behind links."""
    fleet = zones.fleet
    started = fleet.start_engine('e5', models='narrative')
    fleet.start_link('far', started.address)
    zones.rig.add_backend('e5', FAR, fleet.members['far'].address)
    zones.rig.share_region('e5')


def measure(trial: Trial) -> dict[str, Any]:
    """Return the figures of the product."""
    calm = trial.play('none')
    total = Outcome()
    tails = {}
    for kind, rounds in ROUNDS.items():
        tails[kind] = []
        for _ in range(rounds):
            outcome = trial.play(kind)
            tails[kind] += outcome.silences_ms
            total += outcome
        _tell(f'{kind}: {sorted(map(round, tails[kind]))} ms')
    findings = calm.findings + total.findings
    return {
        'resume_ms_p50': quantile(tails['engine killed'], MEDIAN),
        'resume_ms_p99': quantile(tails['engine killed'], TAIL),
        'frozen_resume_ms_p99': quantile(tails['engine frozen'], TAIL),
        'host_lost_resume_ms_p99': quantile(tails['host killed'], TAIL),
        'extra_engine_tokens_ratio': _extra(total, calm),
        'calm_extra_engine_tokens_ratio': round(calm.work_ratio - 1, 4),
        'cross_region_bytes_ratio': round(total.far_rate / calm.far_rate, 3),
        'struck': {name: len(tail) for name, tail in tails.items()},
        'prefill_ms': PREFILL_MS,
        'lost': findings.lost,
        'repeated': findings.repeated,
        'mixed': findings.mixed,
        'unfinished': findings.unfinished,
        'generations': calm.generations + total.generations,
    }


def measure_baseline(zones: Zones, rng: Random) -> dict[str, Any]:
    """Return the figures of running again from the start."""
    silences: dict[str, list[float]] = {}
    total = Outcome()
    for kind in ('engine killed', 'engine frozen'):
        outcome = _play_baseline(zones, rng, kind)
        silences[kind] = outcome.silences_ms
        total += outcome
    return {
        'resume_ms_p50': quantile(silences['engine killed'], MEDIAN),
        'resume_ms_p99': quantile(silences['engine killed'], TAIL),
        'frozen_resume_ms_p99': quantile(silences['engine frozen'], TAIL),
        'extra_engine_tokens_ratio': round(total.work_ratio - 1, 4),
        'lost': total.findings.lost,
        'repeated': total.findings.repeated,
        'mixed': total.findings.mixed,
        'generations': total.generations,
    }


def _play_baseline(zones: Zones, rng: Random, kind: str) -> Outcome:
    engines = sorted(zones.engines)
    callers = rerun_all(zones, CALLERS, TOKENS)
    time.sleep(rng.uniform(*STRIKE_S))
    engine = rng.choice(engines)
    struck = [one for one in callers if one.engine == engine]
    if kind == 'engine killed':
        zones.kill_engine(engine)
    else:
        zones.fleet.pause(engine)
    struck_s = time.monotonic()
    for caller in callers:
        caller.join(JOIN_S)
    zones.restore_engine(engine)
    outcome = look(zones, callers)
    outcome.silences_ms = [silence_ms(one, struck_s, kind) for one in struck]
    return outcome


def look(zones: Zones, callers: Sequence[Caller | Rerunner]) -> Outcome:
    """Return what callers got and what engines did for them."""
    generations = {one.history.received.generation for one in callers}
    computed = [
        run.get('decode_tokens', 0)
        for run in zones.runs()
        if run['generation'] in generations
    ]
    return Outcome(
        delivered=sum(len(one.history.moments) for one in callers),
        computed=sum(computed),
        findings=zones.check(callers),
        generations=len(callers),
    )


def silence_ms(
    caller: Caller | Rerunner,
    struck_s: float,
    kind: str,
) -> float:
    """Return the silence that a failure caused, in milliseconds.

    With an engine lost it lasts from the last token before to the next one;
    with a host lost from the caller's reconnect.
    """
    if kind == 'host killed':
        waits = [
            (one.first_s or one.lost_s + JOIN_S) - one.lost_s
            for one in caller.history.reconnects
        ]
        return max(waits, default=0) * MS_PER_S
    moments = caller.history.moments
    earlier = [one for one in moments if one <= struck_s]
    later = [one for one in moments if one > struck_s]
    line = earlier[-1:] + later
    gaps = [
        (after - before) * MS_PER_S
        for before, after in zip(line, line[1:], strict=False)
    ]
    return max(gaps, default=0)


def quantile(figures: list[float], part: float) -> float:
    """Return the smallest figure that a part of all do not exceed."""
    if not figures:
        return 0
    ordered = sorted(figures)
    index = min(len(ordered) - 1, int(part * len(ordered)))
    return round(ordered[index], 1)


def _extra(total: Outcome, calm: Outcome) -> float:
    return round(total.work_ratio / calm.work_ratio - 1, 4)


def _tell(line: str) -> None:
    sys.stderr.write(f'{line}\n')
