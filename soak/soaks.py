"""One soak: callers, faults in series, then calm, then the checks."""

from __future__ import annotations

import shutil
import threading
import time
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

from soak.callers import Caller
from soak.checks import RECOVERY_S, findings
from soak.records import Evidence
from soak.rigs import SoakRig
from soak.schedules import Event, draw_schedule
from standins.launching import Fleet

CALLERS = 8
CALM_S = 4.0  # of traffic after the time for recovery
WATCH_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a soak came to.

    Attributes:
        seed: of the faults and the callers.
        attempts: requests sent.
        served: those with a whole 200.
        runs: at backend servers.
        faults: that happened.
        findings: broken promises, a line each.
    """

    seed: int
    attempts: int
    served: int
    runs: int
    faults: int
    findings: list[str]


def run_soak(seed: int, span_s: float, keep: Path | None = None) -> Outcome:
    """Play the faults of a seed.

    Args:
        seed: same seed, same faults.
        span_s: faults begin within this many seconds.
        keep: where to put the logs of a soak that found something.
    """
    with Fleet() as fleet:
        try:
            rig = SoakRig(fleet)
        except TimeoutError:
            _keep(fleet, seed, keep)
            raise
        schedule = draw_schedule(seed, span_s, rig.targets())
        _play(rig, seed, schedule)
        evidence = rig.close_evidence()
        found = findings(evidence)
        if found:
            _keep(fleet, seed, keep)
    return _outcome(seed, schedule, evidence, found)


def _keep(fleet: Fleet, seed: int, keep: Path | None) -> None:
    if keep is not None:
        folder = keep / str(seed)
        shutil.copytree(fleet.folder, folder, dirs_exist_ok=True)


def _play(rig: SoakRig, seed: int, schedule: list[Event]) -> None:
    callers = [
        Caller(seed * CALLERS + number, rig.callers_at, rig.keys)
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    started_s = time.monotonic()
    playing = []
    for event in schedule:
        _sleep(rig, started_s + event.at_s)
        thread = threading.Thread(target=rig.play, args=(event,), daemon=True)
        thread.start()
        playing.append(thread)
    for thread in playing:
        thread.join()
    rig.evidence.calm_s = time.monotonic()
    _sleep(rig, rig.evidence.calm_s + RECOVERY_S + CALM_S)
    for caller in callers:
        caller.stopped.set()
    for caller in callers:
        caller.join()
        rig.evidence.attempts.extend(caller.attempts)


def _sleep(rig: SoakRig, until_s: float) -> None:
    while time.monotonic() < until_s:
        rig.watch_exits()
        time.sleep(WATCH_PERIOD_S)


def _outcome(
    seed: int,
    schedule: list[Event],
    evidence: Evidence,
    found: list[str],
) -> Outcome:
    served = sum(
        attempt.status == HTTPStatus.OK and attempt.whole
        for attempt in evidence.attempts
    )
    return Outcome(
        seed,
        len(evidence.attempts),
        served,
        len(evidence.runs),
        len(schedule),
        found,
    )
