"""Random failures over many generations; checks that each stays whole.

Words: ``generations=N`` (default 204).  The schedule of failures comes from
the seed alone.  Every caller must end with its whole text or an explicit
error, without a lost, repeated or mixed token by the engines' own records.
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
LEAST_TOKENS = 60
MOST_TOKENS = 220
FAULT_AFTER_S = (0.15, 0.7)
HEAL_AFTER_S = (0.6, 1.6)
JOIN_S = 30
POLICIES = ('patient', 'eager')
SETTINGS = {'patient_silence_s': 1, 'eager_silence_s': 0.4, 'heartbeat_s': 0.3}
EVENT_FAULTS = ('repeat', 'gap', 'reorder', 'truncate_event', 'cross')
LOST_ANSWERS = 3

Fault = Callable[[Zones], Any]


@dataclass(frozen=True, slots=True)
class Round:
    """What happens to one batch of callers.

    Attributes:
        policy: of the service.
        names: of the faults.
        faults: one or two, struck together.
        fault_s: seconds from the start of the callers.
        heal_s: seconds from the faults to their end.
        sizes: tokens of each caller.
        routes: hosts of each caller, in the order of trying.
    """

    policy: str
    names: tuple[str, ...]
    faults: tuple[Fault, ...]
    fault_s: float
    heal_s: float
    sizes: tuple[int, ...]
    routes: tuple[str, ...]


def run(seed: int, words: Sequence[str]) -> dict[str, Any]:
    """Run the rounds of a seed; return counts of faults seen."""
    options = dict(word.split('=') for word in words)
    count = int(options.get('generations', GENERATIONS))
    rounds = plan(seed, count)
    with Fleet() as fleet:
        zones = Zones(fleet, POLICIES[0], token_interval_ms=INTERVAL_MS)
        zones.start_hosts(generations=SETTINGS)
        callers: list[Caller] = []
        for number, planned in enumerate(rounds):
            callers += play(zones, planned)
            _tell(f'seed {seed} round {number} {planned.names}')
        findings = zones.check(callers)
    return figures(callers, findings)


def plan(seed: int, count: int) -> list[Round]:
    """Return the rounds of a seed."""
    rng = Random(seed)
    rounds = []
    while count > 0:
        rounds.append(_draw(rng, min(CALLERS, count)))
        count -= CALLERS
    return rounds


def play(zones: Zones, planned: Round) -> list[Caller]:
    """Run one round and take its failures away."""
    zones.set_policy(planned.policy)
    callers = [
        zones.caller(route, size, key=f'k{next(zones.numbers)}')
        for route, size in zip(planned.routes, planned.sizes, strict=True)
    ]
    time.sleep(planned.fault_s)
    for fault in planned.faults:
        fault(zones)
    time.sleep(planned.heal_s)
    zones.restore()
    for caller in callers:
        caller.join(JOIN_S)
    return callers


def figures(callers: list[Caller], findings: Findings) -> dict[str, Any]:
    """Return the verdict and what led to it."""
    stories = [caller.history for caller in callers]
    silent = [one for one in stories if not one.reason and not one.error]
    errors = Counter(one.error for one in stories if one.error)
    return {
        'generations': len(callers),
        'whole': len([one for one in stories if one.reason]),
        'errors': dict(errors),
        'endless': len(silent),
        'lost': findings.lost,
        'repeated': findings.repeated,
        'mixed': findings.mixed,
        'passed': findings.is_clean and not silent,
    }


def _draw(rng: Random, callers: int) -> Round:
    faults = _faults(rng)
    chosen = rng.sample(sorted(faults), rng.choice((1, 2)))
    return Round(
        policy=rng.choice(POLICIES),
        names=tuple(chosen),
        faults=tuple(faults[name] for name in chosen),
        fault_s=rng.uniform(*FAULT_AFTER_S),
        heal_s=rng.uniform(*HEAL_AFTER_S),
        sizes=tuple(
            rng.randint(LEAST_TOKENS, MOST_TOKENS) for _ in range(callers)
        ),
        routes=tuple(
            ''.join(rng.sample(sorted(HOSTS), len(HOSTS)))
            for _ in range(callers)
        ),
    )


def _faults(rng: Random) -> dict[str, Fault]:
    engine, other = rng.sample(sorted(ENGINES), 2)
    host, second = rng.sample(sorted(HOSTS), 2)
    event = {rng.choice(EVENT_FAULTS): 1}
    return {
        'engine killed': lambda zones: zones.kill_engine(engine),
        'second engine killed': lambda zones: zones.kill_engine(other),
        'engine frozen': lambda zones: zones.fleet.pause(other),
        'event distorted': partial(_control, engine, event),
        'host killed': lambda zones: zones.fleet.kill(host),
        'host paused': lambda zones: zones.fleet.pause(second),
        'zones cut': lambda zones: zones.cut_zones(),
        'link cut': partial(_control, f'{host}-link', {'cut': True}),
        'links reset': partial(_control, f'{second}-link', {'close': True}),
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


def _tell(line: str) -> None:
    sys.stderr.write(f'{line}\n')
