"""Random failures during many generations.

ARGUMENT: ``generations=N`` (default 204).  The schedule of failures depends on
the seed only.  Every caller must end with its whole text or an explicit error,
and the engines' records must show no lost, repeated or mixed token.
"""

import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from bench.zones import ENGINES, HOSTS, Zones
from standins.callers import Caller
from standins.checking import Findings
from standins.launching import Fleet

GENERATIONS = 204
CALLERS = 12
INTERVAL_MS = 8
MIN_TOKENS = 60
MAX_TOKENS = 220
FAULT_AFTER_S = (0.15, 0.7)
RECOVER_AFTER_S = (0.6, 1.6)
JOIN_TIMEOUT_S = 30
POLICIES = ('patient', 'eager')
SETTINGS = {'patient_silence_s': 1, 'eager_silence_s': 0.4, 'heartbeat_s': 0.3}
EVENT_FAULTS = ('repeat', 'gap', 'reorder', 'truncate_event', 'cross')
LOST_ANSWERS = 3

Fault = Callable[[Zones], Any]


@dataclass(frozen=True, slots=True)
class Round:
    """A batch of callers and the faults that they meet.

    Attributes:
        policy: resume policy of the service.
        names: names of the faults.
        faults: one or two faults, injected together.
        fault_s: seconds from the start of the callers to the faults.
        recover_s: seconds from the faults to the recovery.
        sizes: number of tokens of each caller.
        routes: names of each caller's hosts, in the order it tries them.
    """

    policy: str
    names: tuple[str, ...]
    faults: tuple[Fault, ...]
    fault_s: float
    recover_s: float
    sizes: tuple[int, ...]
    routes: tuple[str, ...]


def run(seed: int, arguments: Sequence[str]) -> dict[str, Any]:
    """Run the rounds of a seed and return the figures."""
    options = dict(argument.split('=') for argument in arguments)
    count = int(options.get('generations', GENERATIONS))
    rounds = plan(seed, count)
    with Fleet() as fleet:
        zones = Zones(fleet, POLICIES[0], token_interval_ms=INTERVAL_MS)
        zones.start_hosts(generations=SETTINGS)
        callers: list[Caller] = []
        for number, planned in enumerate(rounds):
            callers += run_round(zones, planned)
            _log(f'seed {seed} round {number} {planned.names}')
        findings = zones.check(callers)
    return summarise(callers, findings)


def plan(seed: int, count: int) -> list[Round]:
    """Return the rounds of a seed for ``count`` generations."""
    rng = Random(seed)
    rounds = []
    while count > 0:
        rounds.append(_draw_round(rng, min(CALLERS, count)))
        count -= CALLERS
    return rounds


def run_round(zones: Zones, planned: Round) -> list[Caller]:
    """Run one round, recover from its faults and return its callers."""
    zones.set_policy(planned.policy)
    callers = [
        zones.start_caller(route, size, key=f'k{next(zones.numbers)}')
        for route, size in zip(planned.routes, planned.sizes, strict=True)
    ]
    time.sleep(planned.fault_s)
    for fault in planned.faults:
        fault(zones)
    time.sleep(planned.recover_s)
    zones.restore()
    for caller in callers:
        caller.join(JOIN_TIMEOUT_S)
    return callers


def summarise(callers: list[Caller], findings: Findings) -> dict[str, Any]:
    """Return the figures of all rounds, with the verdict in ``passed``."""
    stories = [caller.history for caller in callers]
    endless = [
        story for story in stories if not story.reason and not story.error
    ]
    errors = Counter(story.error for story in stories if story.error)
    return {
        'generations': len(callers),
        'whole': len([story for story in stories if story.reason]),
        'errors': dict(errors),
        'endless': len(endless),
        'lost': findings.lost,
        'repeated': findings.repeated,
        'mixed': findings.mixed,
        'passed': findings.is_clean and not endless,
    }


def _draw_round(rng: Random, callers: int) -> Round:
    faults = _draw_faults(rng)
    chosen = rng.sample(sorted(faults), rng.choice((1, 2)))
    return Round(
        policy=rng.choice(POLICIES),
        names=tuple(chosen),
        faults=tuple(faults[name] for name in chosen),
        fault_s=rng.uniform(*FAULT_AFTER_S),
        recover_s=rng.uniform(*RECOVER_AFTER_S),
        sizes=tuple(
            rng.randint(MIN_TOKENS, MAX_TOKENS) for _ in range(callers)
        ),
        routes=tuple(
            ''.join(rng.sample(sorted(HOSTS), len(HOSTS)))
            for _ in range(callers)
        ),
    )


def _draw_faults(rng: Random) -> dict[str, Fault]:
    engine, other_engine = rng.sample(sorted(ENGINES), 2)
    host, other_host = rng.sample(sorted(HOSTS), 2)
    event = {rng.choice(EVENT_FAULTS): 1}
    return {
        'engine killed': lambda zones: zones.kill_engine(engine),
        'second engine killed': lambda zones: zones.kill_engine(other_engine),
        'engine frozen': lambda zones: zones.fleet.pause(other_engine),
        'event distorted': partial(_control, engine, event),
        'host killed': lambda zones: zones.fleet.kill(host),
        'host paused': lambda zones: zones.fleet.pause(other_host),
        'zones cut': lambda zones: zones.cut_zones(),
        'link cut': partial(_control, f'{host}-link', {'cut': True}),
        'links reset': partial(_control, f'{other_host}-link', {'close': True}),
        'platform down': partial(_control, 'platform', {'down': True}),
        'answers lost': partial(
            _control,
            'platform',
            {'lose_answer_after_write': LOST_ANSWERS},
        ),
    }


def _control(name: str, switches: dict[str, Any], zones: Zones) -> None:
    member = zones.fleet.members[name]
    if member.is_running and not member.is_paused:
        zones.fleet.control(name, **switches)


def _log(line: str) -> None:
    sys.stderr.write(f'{line}\n')
