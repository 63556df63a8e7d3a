"""How long callers wait when engines and hosts fail, and the extra work.

With ``--policy baseline`` only the baseline is measured: callers use engines
directly, restart the generation on another engine after a failure and skip the
tokens already received.  Any other policy is measured with the baseline in the
same run.
"""

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.baselines import RestartingReader, start_readers
from bench.rigs import Place
from bench.zones import ACTIVE_STATES, Zones
from standins.callers import Caller
from standins.checking import Findings
from standins.launching import Fleet

POLICIES = ('patient', 'eager')
BASELINE = 'baseline'
INTERVAL_MS = 10
PREFILL_MS = 50
CALLERS = 16
TOKENS = 150
FAULT_AFTER_S = (0.5, 0.9)
ROUNDS = {'engine killed': 4, 'engine frozen': 2, 'host killed': 2}
JOIN_TIMEOUT_S = 25
MS_PER_S = 1000
LEAST_GAP_MS = 3 * INTERVAL_MS
P50 = 0.5
P99 = 0.99
REMOTE_PLACE = Place(
    region='region-b', availability_zone='zone-b1', ip='127.0.3.1'
)


@dataclass(slots=True)
class Outcome:
    """Results of a batch of callers.

    Attributes:
        silences_ms: longest silence of each caller affected by a failure.
        delivered: tokens that callers received.
        computed: tokens that engines computed for them.
        far_bytes: bytes to and from the other region.
        duration_s: seconds until all callers ended.
        findings: faults in the tokens, according to the engines' records.
        generations: number of callers.
    """

    silences_ms: list[float] = field(default_factory=list)
    delivered: int = 0
    computed: int = 0
    cross_region_bytes: int = 0
    duration_s: float = 0
    findings: Findings = field(default_factory=Findings)
    generations: int = 0

    @property
    def work_ratio(self) -> float:
        """Tokens computed per token delivered."""
        return self.computed / max(1, self.delivered)

    @property
    def cross_region_rate(self) -> float:
        """Bytes a second to and from the other region, at least 1."""
        return max(1, self.cross_region_bytes / self.duration_s)

    def __iadd__(self, other: 'Outcome') -> 'Outcome':
        self.silences_ms += other.silences_ms
        self.delivered += other.delivered
        self.computed += other.computed
        self.cross_region_bytes += other.cross_region_bytes
        self.duration_s += other.duration_s
        self.findings += other.findings
        self.generations += other.generations
        return self


class Trial:
    """Runs batches of callers on a started system."""

    def __init__(self, zones: Zones, rng: Random) -> None:
        self.zones = zones
        self.rng = rng

    def play(self, kind: str) -> Outcome:
        """Run a batch of callers through one failure, or none.

        Args:
            kind: a key of ``ROUNDS``; anything else is no failure.
        """
        zones = self.zones
        before = (self._cross_region_bytes(), time.monotonic())
        callers = [
            zones.start_caller(
                'abcd'[number % 4 :] + 'abcd'[: number % 4], TOKENS
            )
            for number in range(CALLERS)
        ]
        time.sleep(self.rng.uniform(*FAULT_AFTER_S))
        fault_s, affected = self._inject(kind, callers)
        for each in callers:
            each.join(JOIN_TIMEOUT_S)
        after = (self._cross_region_bytes(), time.monotonic())
        # A paused engine reports its work only after it is resumed.
        zones.restore()
        outcome = collect_outcome(self.zones, callers)
        outcome.silences_ms = [
            silence_ms(caller, fault_s, kind) for caller in affected
        ]
        outcome.cross_region_bytes = after[0] - before[0]
        outcome.duration_s = after[1] - before[1]
        return outcome

    def _inject(
        self,
        kind: str,
        callers: list[Caller],
    ) -> tuple[float, list[Caller]]:
        zones = self.zones
        if kind == 'engine killed':
            return self._inject_engine_fault(callers, zones.kill_engine)
        if kind == 'engine frozen':
            return self._inject_engine_fault(callers, zones.fleet.pause)
        fault_s = time.monotonic()
        if kind == 'host killed':
            host = self.rng.choice(sorted(zones.hosts))
            zones.fleet.kill(host)
            address = zones.hosts[host]
            return fault_s, [
                caller
                for caller in callers
                if caller.options.addresses[0] == address
            ]
        return fault_s, []

    def _inject_engine_fault(self, callers: list[Caller], inject: Any) -> Any:
        engine_by_generation = {
            run['generation']: run['engine']
            for run in self.zones.runs()
            if run.get('state') in ACTIVE_STATES
        }
        engine = self.rng.choice(sorted(set(engine_by_generation.values())))
        inject(engine)
        affected = [
            caller
            for caller in callers
            if engine_by_generation.get(caller.history.received.generation)
            == engine
        ]
        return time.monotonic(), affected

    def _cross_region_bytes(self) -> int:
        counters = [self.zones.fleet.record(name) for name in ('f-link', 'far')]
        counts = [
            sum(link[direction].values())
            for link in counters
            for direction in ('sent_bytes', 'received_bytes')
        ]
        return sum(counts)


def run(seed: int, arguments: Sequence[str]) -> dict[str, Any]:
    """Measure a policy and the baseline and return their figures."""
    policy = arguments[0] if arguments else POLICIES[0]
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
        add_remote_region(zones)
        zones.start_hosts()
        zones.rig.add_linked_host('f', REMOTE_PLACE)
        product = measure(Trial(zones, Random(seed)))
    return {
        'policy': policy,
        **product,
        **{f'baseline_{name}': figure for name, figure in baseline.items()},
    }


def add_remote_region(zones: Zones) -> None:
    """Add a host and an engine in another region, behind links."""
    fleet = zones.fleet
    started = fleet.start_engine('e5', models='narrative')
    fleet.start_link('far', started.address)
    zones.rig.add_backend('e5', REMOTE_PLACE, fleet.members['far'].address)
    zones.rig.allow_cross_region('e5')


def measure(trial: Trial) -> dict[str, Any]:
    """Run all failures and return the product's figures."""
    undisturbed = trial.play('none')
    total = Outcome()
    silences = {}
    for kind, rounds in ROUNDS.items():
        silences[kind] = []
        for _ in range(rounds):
            outcome = trial.play(kind)
            silences[kind] += outcome.silences_ms
            total += outcome
        _log(f'{kind}: {sorted(map(round, silences[kind]))} ms')
    findings = undisturbed.findings + total.findings
    return {
        'resume_ms_p50': quantile(silences['engine killed'], P50),
        'resume_ms_p99': quantile(silences['engine killed'], P99),
        'frozen_resume_ms_p99': quantile(silences['engine frozen'], P99),
        'host_lost_resume_ms_p99': quantile(silences['host killed'], P99),
        'extra_engine_tokens_ratio': _extra_work_ratio(total, undisturbed),
        'calm_extra_engine_tokens_ratio': round(undisturbed.work_ratio - 1, 4),
        'cross_region_bytes_ratio': round(
            total.cross_region_rate / undisturbed.cross_region_rate, 3
        ),
        'struck': {name: len(found) for name, found in silences.items()},
        'prefill_ms': PREFILL_MS,
        'lost': findings.lost,
        'repeated': findings.repeated,
        'mixed': findings.mixed,
        'unfinished': findings.unfinished,
        'generations': undisturbed.generations + total.generations,
    }


def measure_baseline(zones: Zones, rng: Random) -> dict[str, Any]:
    """Return the figures of callers that restart from the first token."""
    silences: dict[str, list[float]] = {}
    total = Outcome()
    for kind in ('engine killed', 'engine frozen'):
        outcome = _play_baseline(zones, rng, kind)
        silences[kind] = outcome.silences_ms
        total += outcome
    return {
        'resume_ms_p50': quantile(silences['engine killed'], P50),
        'resume_ms_p99': quantile(silences['engine killed'], P99),
        'frozen_resume_ms_p99': quantile(silences['engine frozen'], P99),
        'extra_engine_tokens_ratio': round(total.work_ratio - 1, 4),
        'lost': total.findings.lost,
        'repeated': total.findings.repeated,
        'mixed': total.findings.mixed,
        'generations': total.generations,
    }


def _play_baseline(zones: Zones, rng: Random, kind: str) -> Outcome:
    engines = sorted(zones.engines)
    callers = start_readers(zones, CALLERS, TOKENS)
    time.sleep(rng.uniform(*FAULT_AFTER_S))
    engine = rng.choice(engines)
    affected = [caller for caller in callers if caller.engine == engine]
    if kind == 'engine killed':
        zones.kill_engine(engine)
    else:
        zones.fleet.pause(engine)
    fault_s = time.monotonic()
    for each in callers:
        each.join(JOIN_TIMEOUT_S)
    zones.restore_engine(engine)
    outcome = collect_outcome(zones, callers)
    outcome.silences_ms = [
        silence_ms(caller, fault_s, kind) for caller in affected
    ]
    return outcome


def collect_outcome(
    zones: Zones, callers: Sequence[Caller | RestartingReader]
) -> Outcome:
    """Return the tokens delivered and computed, and the faults in them."""
    generations = {caller.history.received.generation for caller in callers}
    computed = [
        run.get('decode_tokens', 0)
        for run in zones.runs()
        if run['generation'] in generations
    ]
    return Outcome(
        delivered=sum(len(caller.history.moments) for caller in callers),
        computed=sum(computed),
        findings=zones.check(callers),
        generations=len(callers),
    )


def silence_ms(
    caller: Caller | RestartingReader,
    fault_s: float,
    kind: str,
) -> float:
    """Return the longest silence that a failure caused, in milliseconds.

    For an engine it is the longest gap between tokens since the last one before
    the failure.  For a host it is the longest time from the loss of a
    connection to the next token, or `JOIN_TIMEOUT_S` if none came.

    Args:
        caller: a caller that has ended.
        fault_s: monotonic time of the failure.
        kind: a key of ``ROUNDS``.
    """
    if kind == 'host killed':
        waits = [
            (reconnect.first_s or reconnect.lost_s + JOIN_TIMEOUT_S)
            - reconnect.lost_s
            for reconnect in caller.history.reconnects
        ]
        return max(waits, default=0) * MS_PER_S
    moments = caller.history.moments
    earlier = [moment for moment in moments if moment <= fault_s]
    later = [moment for moment in moments if moment > fault_s]
    arrivals = earlier[-1:] + later
    gaps = [
        (after - before) * MS_PER_S
        for before, after in zip(arrivals, arrivals[1:], strict=False)
    ]
    return max(gaps, default=0)


def quantile(figures: list[float], ratio: float) -> float:
    """Return a quantile by the nearest rank, 0 without figures."""
    if not figures:
        return 0
    ordered = sorted(figures)
    index = min(len(ordered) - 1, int(ratio * len(ordered)))
    return round(ordered[index], 1)


def _extra_work_ratio(total: Outcome, undisturbed: Outcome) -> float:
    return round(total.work_ratio / undisturbed.work_ratio - 1, 4)


def _log(line: str) -> None:
    sys.stderr.write(f'{line}\n')
