"""One soak: traffic under faults, traffic after recovery, then the checks."""

from __future__ import annotations

import operator
import shutil
import threading
import time
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

from soak.callers import Caller
from soak.checks import RECOVERY_S, collect_findings
from soak.records import Evidence
from soak.rigs import FRONTS, SoakRig
from soak.schedules import Event, draw_schedule
from soak.series import draw_series
from standins.calls import call
from standins.launching import Fleet

CALLER_COUNT = 8
TRAFFIC_AFTER_RECOVERY_S = 4.0
EXIT_POLL_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a soak; its fields are printed as JSON.

    Attributes:
        seed: determines the faults and the requests.
        attempts: number of requests sent.
        served: number of requests with a complete 200 response.
        runs: number of runs at backend servers.
        faults: number of injected faults.
        findings: violated guarantees, a line each.
    """

    seed: int
    attempts: int
    served: int
    runs: int
    faults: int
    findings: list[str]


def run_soak(
    seed: int,
    span_s: float,
    logs_folder: Path | None = None,
    *,
    has_series: bool = True,
) -> Outcome:
    """Run callers against fronts under the faults of a seed.

    Args:
        seed: the same seed gives the same faults.
        span_s: faults start within this many seconds.
        logs_folder: folder that gets a subfolder with the logs, named after
            the seed, if there are findings or a process did not start in
            time; None drops the logs.
        has_series: whether several fronts are killed at once beside
            malformed and large documents.

    Raises:
        TimeoutError: a front was not ready in time.
    """
    with Fleet() as fleet:
        try:
            rig = SoakRig(fleet)
        except TimeoutError:
            _save_logs(fleet, seed, logs_folder)
            raise
        schedule = draw_schedule(seed, span_s, rig.targets())
        if has_series:
            schedule += draw_series(seed, span_s, tuple(FRONTS))
        schedule.sort(key=operator.attrgetter('at_s'))
        _run_schedule(rig, seed, schedule)
        evidence = rig.collect_evidence()
        findings = collect_findings(evidence)
        if findings:
            _save_logs(fleet, seed, logs_folder)
    return _outcome(seed, schedule, evidence, findings)


def _save_logs(fleet: Fleet, seed: int, logs_folder: Path | None) -> None:
    if logs_folder is not None:
        folder = logs_folder / str(seed)
        shutil.copytree(fleet.folder, folder, dirs_exist_ok=True)


def _run_schedule(rig: SoakRig, seed: int, schedule: list[Event]) -> None:
    callers = [
        Caller(seed * CALLER_COUNT + number, rig.caller_addresses, rig.keys)
        for number in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    _play(rig, schedule)
    rig.add_servers()
    rig.evidence.faults_ended_s = time.monotonic()
    recovered_s = rig.evidence.faults_ended_s + RECOVERY_S
    _watch_until(rig, recovered_s)
    _record_unready(rig)
    # The others stay at fronts that keep their connections.
    probes = [
        Caller(seed, {front: address}, rig.keys[-1:], probes_kind='look')
        for front, address in rig.caller_addresses.items()
    ]
    for probe in probes:
        probe.start()
    _watch_until(rig, recovered_s + TRAFFIC_AFTER_RECOVERY_S)
    _record_unready(rig)
    rig.end_writing()
    _stop_callers(rig, [*callers, *probes])


def _stop_callers(rig: SoakRig, callers: list[Caller]) -> None:
    for caller in callers:
        caller.stopped.set()
    for caller in callers:
        caller.join()
        rig.evidence.attempts.extend(caller.attempts)


def _play(rig: SoakRig, schedule: list[Event]) -> None:
    started_s = time.monotonic()
    fault_threads = []
    for event in schedule:
        _watch_until(rig, started_s + event.at_s)
        thread = threading.Thread(target=rig.inject, args=(event,), daemon=True)
        thread.start()
        fault_threads.append(thread)
    for thread in fault_threads:
        thread.join()


def _record_unready(rig: SoakRig) -> None:
    for front, health in rig.health.items():
        try:
            status, body = call(health, 'GET', '/api/ready')
        except OSError as error:
            status, body = None, repr(error)
        if status != HTTPStatus.OK:
            rig.evidence.unready.append(f'{front}: {status} {body}')


def _watch_until(rig: SoakRig, until_s: float) -> None:
    while time.monotonic() < until_s:
        rig.record_failed_exits()
        time.sleep(EXIT_POLL_PERIOD_S)


def _outcome(
    seed: int,
    schedule: list[Event],
    evidence: Evidence,
    findings: list[str],
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
        findings,
    )
