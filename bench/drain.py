"""How soon leaving is obeyed, and whether it cuts streams.

Two zones of hosts and engines under a steady flow of callers.  An operator
tells backend server e1 to leave, then host a is told to stop.

Figures:
    new_work_after_ms_max: from the answer to the operator to the last run
        that began at e1, seen by its record each 20 ms.
    cut_streams: generations that were not one run of one engine, or whose
        caller had to reconnect.
    wrong_texts: tokens lost, repeated or mixed.
    drain_ms: from the signal to the end of host a's process.
    callers, runs_at_e1: how much was under way.
"""

import random
import sys
import threading
import time
from collections import Counter
from typing import Any

from bench.zones import OPERATOR, Zones
from standins.callers import Caller
from standins.calls import call
from standins.launching import Fleet

MS_PER_S = 1000
LEAVING = 'e1'
STOPPED = 'a'
LOOK_S = 0.02
CALL_S = 0.04
SLOTS = 16
WARM_UP_S = 3.0
WATCH_S = 6.0
SETTLE_S = 1.0
JOIN_S = 15.0
SHORTEST_TOKENS = 5
LONGEST_TOKENS = 80
OK = 200


class Flow(threading.Thread):
    """Starts a caller at a random host every few milliseconds."""

    def __init__(self, zones: Zones, seed: int) -> None:
        super().__init__(daemon=True)
        self.zones = zones
        self.rng = random.Random(seed)
        self.hosts = sorted(zones.hosts)
        self.callers: list[Caller] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Call until stopped."""
        while not self.stopped.wait(CALL_S):
            tokens = self.rng.randint(SHORTEST_TOKENS, LONGEST_TOKENS)
            first = self.rng.choice(self.hosts)
            others = [name for name in self.hosts if name != first]
            order = ''.join([first, *others])
            self.callers.append(self.zones.caller(order, tokens))

    def finish(self) -> list[Caller]:
        """Stop calling and wait for the callers."""
        self.stopped.set()
        self.join()
        for caller in self.callers:
            caller.join(JOIN_S)
        return self.callers


def run(seed: int, words: list[str]) -> dict[str, Any]:
    """Let a backend server and a host leave under load."""
    with Fleet() as fleet:
        zones = Zones(fleet, 'patient', capacity=SLOTS)
        zones.start_hosts()
        flow = Flow(zones, seed)
        flow.start()
        time.sleep(WARM_UP_S)
        before = _count_runs(zones)
        last_ms = _leave(zones)
        sys.stderr.write(f'{LEAVING}: last new run after {last_ms} ms\n')
        drain_ms = _stop_host(zones)
        callers = flow.finish()
        findings = zones.check(callers)
        return {
            'new_work_after_ms_max': last_ms,
            'cut_streams': _count_cut(zones, callers),
            'wrong_texts': findings.lost + findings.repeated + findings.mixed,
            'unfinished': findings.unfinished,
            'drain_ms': drain_ms,
            'callers': len(callers),
            'runs_at_e1': before,
        }


def _leave(zones: Zones) -> float:
    """Set the row; return when the last new run was seen after it."""
    address = zones.hosts['d']
    path = f'/operator/table/backend_server/{LEAVING}'
    row = call(address, 'GET', path, headers=OPERATOR)[1]
    row['fields']['state'] = 'leaving'
    status, body = call(address, 'PUT', path, row, OPERATOR)
    if status != OK:
        raise ConnectionError(str(body))
    accepted_s = time.monotonic()
    last_s = accepted_s
    known = _count_runs(zones)
    while time.monotonic() < accepted_s + WATCH_S:
        time.sleep(LOOK_S)
        count = _count_runs(zones)
        if count > known:
            known = count
            last_s = time.monotonic()
    return round((last_s - accepted_s) * MS_PER_S, 1)


def _stop_host(zones: Zones) -> float:
    """Signal a host; return the time until its process ended."""
    process = zones.fleet.members[STOPPED].process
    began_s = time.monotonic()
    process.terminate()
    process.wait(JOIN_S)
    elapsed_s = time.monotonic() - began_s
    time.sleep(SETTLE_S)
    return round(elapsed_s * MS_PER_S, 1)


def _count_runs(zones: Zones) -> int:
    return len(zones.fleet.record(LEAVING)['runs'])


def _count_cut(zones: Zones, callers: list[Caller]) -> int:
    runs = Counter(each['generation'] for each in zones.runs())
    cut = [
        caller
        for caller in callers
        if caller.history.reconnects
        or runs[caller.history.received.generation] > 1
    ]
    return len(cut)
