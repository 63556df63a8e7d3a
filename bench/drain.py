"""How fast a backend server and a host drain, and whether streams break.

Two zones of hosts and engines serve a steady flow of callers.  An operator
sets the state of backend server e1 to leaving; then host a is terminated.

Figures:
    new_work_after_ms_max: from the response to the operator to the last run
        that started on e1; e1's record is polled every 20 ms.
    cut_streams: generations that took more than one run, or whose caller had
        to reconnect.
    wrong_texts: tokens lost, repeated or mixed.
    drain_ms: from SIGTERM to the exit of host a's process.
    callers, runs_at_e1: number of callers, and of runs on e1 before it left.
"""

import random
import sys
import threading
import time
from collections import Counter
from typing import Any

from bench.zones import OPERATOR_AUTH, Zones
from standins.callers import Caller
from standins.calls import call
from standins.launching import Fleet

MS_PER_S = 1000
LEAVING_ENGINE = 'e1'
STOPPED_HOST = 'a'
RECORD_POLL_S = 0.02
CALL_INTERVAL_S = 0.04
SLOTS = 16
WARM_UP_S = 3.0
OBSERVE_S = 6.0
SETTLE_S = 1.0
JOIN_TIMEOUT_S = 15.0
MIN_TOKENS = 5
MAX_TOKENS = 80
OK = 200


class Flow(threading.Thread):
    """Starts a caller at a random host every `CALL_INTERVAL_S`."""

    def __init__(self, zones: Zones, seed: int) -> None:
        super().__init__(daemon=True)
        self.zones = zones
        self.rng = random.Random(seed)
        self.hosts = sorted(zones.hosts)
        self.callers: list[Caller] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Start callers until stopped."""
        while not self.stopped.wait(CALL_INTERVAL_S):
            tokens = self.rng.randint(MIN_TOKENS, MAX_TOKENS)
            first = self.rng.choice(self.hosts)
            others = [name for name in self.hosts if name != first]
            order = ''.join([first, *others])
            self.callers.append(self.zones.start_caller(order, tokens))

    def finish(self) -> list[Caller]:
        """Stop starting callers and wait until those started have ended."""
        self.stopped.set()
        self.join()
        for caller in self.callers:
            caller.join(JOIN_TIMEOUT_S)
        return self.callers


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Drain a backend server and a host under load."""
    with Fleet() as fleet:
        zones = Zones(fleet, 'patient', capacity=SLOTS)
        zones.start_hosts()
        flow = Flow(zones, seed)
        flow.start()
        time.sleep(WARM_UP_S)
        runs_before = _count_runs(zones)
        last_ms = _drain_engine(zones)
        sys.stderr.write(f'{LEAVING_ENGINE}: last new run after {last_ms} ms\n')
        drain_ms = _stop_host(zones)
        callers = flow.finish()
        findings = zones.check(callers)
        return {
            'new_work_after_ms_max': last_ms,
            'cut_streams': _count_broken(zones, callers),
            'wrong_texts': findings.lost + findings.repeated + findings.mixed,
            'unfinished': findings.unfinished,
            'drain_ms': drain_ms,
            'callers': len(callers),
            'runs_at_e1': runs_before,
        }


def _drain_engine(zones: Zones) -> float:
    """Set the row to leaving; return the milliseconds to the last new run."""
    address = zones.hosts['d']
    path = f'/operator/table/backend_server/{LEAVING_ENGINE}'
    row = call(address, 'GET', path, headers=OPERATOR_AUTH)[1]
    row['fields']['state'] = 'leaving'
    status, body = call(address, 'PUT', path, row, OPERATOR_AUTH)
    if status != OK:
        raise ConnectionError(str(body))
    accepted_s = time.monotonic()
    last_s = accepted_s
    last_count = _count_runs(zones)
    while time.monotonic() < accepted_s + OBSERVE_S:
        time.sleep(RECORD_POLL_S)
        count = _count_runs(zones)
        if count > last_count:
            last_count = count
            last_s = time.monotonic()
    return round((last_s - accepted_s) * MS_PER_S, 1)


def _stop_host(zones: Zones) -> float:
    """Terminate a host; return the milliseconds until its process exits."""
    process = zones.fleet.members[STOPPED_HOST].process
    start_s = time.monotonic()
    process.terminate()
    process.wait(JOIN_TIMEOUT_S)
    elapsed_s = time.monotonic() - start_s
    time.sleep(SETTLE_S)
    return round(elapsed_s * MS_PER_S, 1)


def _count_runs(zones: Zones) -> int:
    return len(zones.fleet.record(LEAVING_ENGINE)['runs'])


def _count_broken(zones: Zones, callers: list[Caller]) -> int:
    runs = Counter(recorded['generation'] for recorded in zones.runs())
    broken = [
        caller
        for caller in callers
        if caller.history.reconnects
        or runs[caller.history.received.generation] > 1
    ]
    return len(broken)
