"""How soon a change of the shared table is in force on all hosts.

Operators edit shares through random hosts, seven in three zones.  The first
phase has no failures.  In the second, hosts are paused, zones cut off and
connections reset, and the platform is down, slow or loses responses.  Each
host's rows are polled every 20 ms; the platform's record says what was
committed.

Figures: ``changes`` accepted; ``in_force_ms_p99_calm`` and ``_faults`` from
the response to the operator, or the end of a host's outage, until the host is
seen with the change; ``reverts``, samples in which a row or the table went back
to an older version; ``lost``, accepted changes that are not in the platform's
record or were never in force on some host; ``false_not_run``, changes answered
as not run that were committed.
"""

import random
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from bench.editing import Edit, Operator
from bench.watching import Outages, Watcher, percentile
from celerywharf.tables.catalogues import digest_key
from standins.clusters import Cluster
from standins.launching import Fleet

ZONES = {
    'a1': 'zone-a',
    'a2': 'zone-a',
    'a3': 'zone-a',
    'b1': 'zone-b',
    'b2': 'zone-b',
    'c1': 'zone-c',
    'c2': 'zone-c',
}
ROWS = 6
OPERATORS = 3
CALM_S = 6.0
FAULTS_S = 14.0
IMPORT_TIMEOUT_S = 3.0
FAULT_INTERVAL_S = (0.4, 1.2)
FAULT_DURATION_S = (0.6, 1.6)
CATCH_UP_TIMEOUT_S = 6.0
MS_PER_S = 1000
P99 = 0.99
SLOW_MS = 150

Figures = dict[str, Any]
Undo = Callable[[], None]
Watchers = dict[str, Watcher]


@dataclass(slots=True)
class FaultInjector:
    """Injects random failures and records which hosts they made unreachable.

    Attributes:
        rng: source of the random choices.
        outages: by host, when it was paused or its zone cut off.
        paused_hosts: hosts that are paused now.
        counts: number of injected failures, by kind.
    """

    cluster: Cluster
    rng: random.Random
    outages: dict[str, Outages] = field(default_factory=dict)
    paused_hosts: set[str] = field(default_factory=set)
    counts: dict[str, int] = field(default_factory=dict)

    def run(self, duration_s: float) -> None:
        """Inject failures, some of which overlap, and undo all at the end."""
        end_s = time.monotonic() + duration_s
        pending: list[tuple[float, Undo]] = []
        while time.monotonic() < end_s:
            until_s = time.monotonic() + self.rng.uniform(*FAULT_DURATION_S)
            pending.append((until_s, self._inject()))
            time.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            pending = _undo_due(pending, time.monotonic())
        for _, undo in pending:
            undo()

    def choose_host(self, rng: random.Random) -> str:
        """Return a random host that is not paused."""
        return rng.choice(
            [name for name in ZONES if name not in self.paused_hosts]
        )

    def _inject(self) -> Undo:
        name = self.rng.choice(
            ('pause', 'pause', 'cut', 'reset', 'lose', 'down', 'slow'),
        )
        self.counts[name] = self.counts.get(name, 0) + 1
        fleet = self.cluster.fleet
        match name:
            case 'pause':
                return self._pause()
            case 'cut':
                return self._cut()
            case 'reset':
                self.cluster.reset_connections()
            case 'lose':
                fleet.control('platform', lose_answer_after_write=2)
            case 'down':
                fleet.control('platform', down=True)
                return lambda: fleet.control('platform', down=False)
            case 'slow':
                fleet.control('platform', slow_ms=SLOW_MS)
                return lambda: fleet.control('platform', slow_ms=0)
        return lambda: None

    def _pause(self) -> Undo:
        running = sorted(set(ZONES) - self.paused_hosts)
        name = self.rng.choice(running[1:])
        self.paused_hosts.add(name)
        start_s = time.monotonic()
        self.cluster.fleet.pause(name)

        def resume() -> None:  # noqa: WPS430
            self._record_outage([name], start_s)
            self.cluster.fleet.resume(name)
            self.paused_hosts.discard(name)

        return resume

    def _cut(self) -> Undo:
        if self.cluster.cut_zones:
            return lambda: None
        zone = self.rng.choice(sorted(set(ZONES.values())))
        start_s = time.monotonic()
        self.cluster.cut(zone)

        def reconnect() -> None:  # noqa: WPS430
            self.cluster.reset_connections()
            names = [
                name for name, host_zone in ZONES.items() if host_zone == zone
            ]
            self._record_outage(names, start_s)
            self.cluster.cut()

        return reconnect

    def _record_outage(self, names: Iterable[str], start_s: float) -> None:
        for name in names:
            span = (start_s, time.monotonic())
            self.outages.setdefault(name, Outages()).spans.append(span)


def run(seed: int, arguments: Sequence[str]) -> Figures:
    """Run both phases and return the figures."""
    with Fleet() as fleet:
        _log('starting seven hosts')
        cluster = Cluster.start(fleet, ZONES)
        keys = _fill_table(cluster)
        injector = FaultInjector(cluster, random.Random(f'trouble {seed}'))
        watchers = _start_watchers(cluster)
        _log('phase without failures')
        calm = _run_operators(cluster, keys, f'calm-{seed}', injector, CALM_S)
        _log('phase with failures')
        faults = _run_operators(
            cluster, keys, f'faults-{seed}', injector, FAULTS_S
        )
        _stop_watchers(watchers, [*calm, *faults])
        record = fleet.record('platform')
    _log(f'failures injected: {injector.counts}')
    return _summarise(calm, faults, watchers, injector.outages, record)


def _start_watchers(cluster: Cluster) -> Watchers:
    watchers = {
        name: Watcher(member) for name, member in cluster.members.items()
    }
    for watcher in watchers.values():
        watcher.start()
    return watchers


def _fill_table(cluster: Cluster) -> list[str]:
    account = {'name': 'acme', 'key_digest': digest_key('acme')}
    service = {'name': 'chat', 'kind': 'application'}
    rows = [_row('client_account', account), _row('service', service)]
    keys = []
    for number in range(ROWS):
        backend = {
            'name': f'e{number}',
            'url': 'http://127.0.0.1:9',
            'region': 'r1',
            'availability_zone': 'zone-a',
            'service': 'chat',
        }
        share = {
            'backend_server': backend['name'],
            'client_account': 'acme',
            'weight': 1,
            'limit': 1,
        }
        rows.extend((_row('backend_server', backend), _row('share', share)))
        keys.append(f'{backend["name"]}:acme')
    content = {'rows': rows}
    _, change = cluster.operate('a1', 'POST', '/table/import', content)
    cluster.wait_for_revision(change['revision'], ZONES, IMPORT_TIMEOUT_S)
    return keys


def _row(kind: str, fields: dict[str, Any]) -> dict[str, Any]:
    return {'kind': kind, 'version': 0, 'fields': fields}


def _run_operators(
    cluster: Cluster,
    keys: Sequence[str],
    seed: str,
    injector: FaultInjector,
    duration_s: float,
) -> list[Edit]:
    operators = [
        Operator(cluster, keys, f'{seed}-{number}', injector.choose_host)
        for number in range(OPERATORS)
    ]
    for operator in operators:
        operator.start()
    if seed.startswith('calm'):
        time.sleep(duration_s)
    else:
        injector.run(duration_s)
    edits: list[Edit] = []
    for operator in operators:
        operator.stopping.set()
    for operator in operators:
        operator.join()
        edits.extend(operator.edits)
    return edits


def _stop_watchers(watchers: Watchers, edits: Iterable[Edit]) -> None:
    last = max(edit.revision for edit in edits)
    end_s = time.monotonic() + CATCH_UP_TIMEOUT_S
    while time.monotonic() < end_s and any(
        watcher.revision() < last for watcher in watchers.values()
    ):
        time.sleep(0.1)
    for watcher in watchers.values():
        watcher.stopping.set()
    for watcher in watchers.values():
        watcher.join()


def _summarise(
    calm: Sequence[Edit],
    faults: Sequence[Edit],
    watchers: Watchers,
    outages: dict[str, Outages],
    record: dict[str, Any],
) -> Figures:
    committed = _committed(record)
    edits = [*calm, *faults]
    accepted = [edit for edit in edits if edit.accepted]
    never_in_force = [
        edit
        for edit in accepted
        if any(
            watcher.first_with(edit.revision) is None
            for watcher in watchers.values()
        )
    ]
    not_committed = [
        edit
        for edit in accepted
        if committed.get(edit.change_id) != (edit.key, edit.version, edit.limit)
    ]
    false_not_run = [
        edit
        for edit in edits
        if edit.verdict == 'not_run' and edit.change_id in committed
    ]
    return {
        'changes': len(accepted),
        'changes_faults': sum(edit.accepted for edit in faults),
        'in_force_ms_p99': _in_force_ms(accepted, watchers, outages),
        'in_force_ms_max_faults': _in_force_ms(faults, watchers, outages, 1),
        'in_force_ms_p99_calm': _in_force_ms(calm, watchers, {}),
        'in_force_ms_p99_faults': _in_force_ms(faults, watchers, outages),
        'reverts': sum(watcher.reverts() for watcher in watchers.values()),
        'lost': len(never_in_force) + len(not_committed),
        'false_not_run': len(false_not_run),
        'refused': sum(edit.verdict == 'not_run' for edit in edits),
        'unknown': sum(
            not edit.accepted and edit.verdict != 'not_run' for edit in edits
        ),
        'commit_ms_p99_calm': _milliseconds(
            percentile(
                [edit.answered_s - edit.sent_s for edit in calm],
                P99,
            ),
        ),
        'samples': sum(len(watcher.samples) for watcher in watchers.values()),
    }


def _committed(record: dict[str, Any]) -> dict[str, tuple[str, int, int]]:
    found = {}
    for transaction in record['transactions']:
        for key, stored in transaction['puts'].items():
            if key.startswith('table/rows/share/'):
                found[stored['change_id']] = (
                    stored['key'],
                    stored['version'],
                    stored['fields']['limit'],
                )
    return found


def _in_force_ms(
    edits: Iterable[Edit],
    watchers: Watchers,
    outages: dict[str, Outages],
    ratio: float = P99,
) -> float:
    delays = []
    for edit in edits:
        if not edit.accepted:
            continue
        for name, watcher in watchers.items():
            seen_s = watcher.first_with(edit.revision)
            if seen_s is not None:
                since_s = outages.get(name, Outages()).reachable_since(
                    edit.answered_s,
                    seen_s,
                )
                delays.append(max(0, seen_s - since_s))
    return _milliseconds(percentile(delays, ratio))


def _milliseconds(seconds: float) -> float:
    return round(seconds * MS_PER_S, 1)


def _undo_due(
    pending: Iterable[tuple[float, Undo]],
    now: float,
) -> list[tuple[float, Undo]]:
    remaining = []
    for due_s, undo in pending:
        if due_s > now:
            remaining.append((due_s, undo))
        else:
            undo()
    return remaining


def _log(message: str) -> None:
    sys.stderr.write(f'table: {message}\n')
