"""How soon a change of the shared table is in force everywhere.

Seven hosts in three zones, operators editing shares through random hosts,
first in calm, then with hosts paused, zones cut, connections reset, the
platform down, slow or losing answers.  Every host's rows are watched from
outside; the platform's record is the truth about what was committed.

Figures: ``changes`` accepted; ``in_force_ms_p99_calm`` and ``_faults`` from
the operator's answer, or the end of a host's outage, to the host being seen
with the change (watched every 20 ms); ``reverts`` seen; ``lost`` changes that
were accepted but are not in the platform's record or never came in force at
some host; ``false_not_run`` changes answered as not run that were committed.
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
SETTLE_S = 3.0
BETWEEN_S = (0.4, 1.2)
LASTING_S = (0.6, 1.6)
DRAIN_S = 6.0
MILLISECONDS = 1000
P99 = 0.99
SLOW_MS = 150

Figures = dict[str, Any]
Undo = Callable[[], None]
Watchers = dict[str, Watcher]


@dataclass(slots=True)
class Trouble:
    """Makes seeded failures and remembers whom they kept away.

    Attributes:
        outages: by host, when it was paused or its zone cut off.
        away: hosts that are paused now.
        counts: failures made, by name.
    """

    cluster: Cluster
    source: random.Random
    outages: dict[str, Outages] = field(default_factory=dict)
    away: set[str] = field(default_factory=set)
    counts: dict[str, int] = field(default_factory=dict)

    def run(self, duration_s: float) -> None:
        """Make failures, some of them at the same time, then undo all."""
        end_s = time.monotonic() + duration_s
        pending: list[tuple[float, Undo]] = []
        while time.monotonic() < end_s:
            until_s = time.monotonic() + self.source.uniform(*LASTING_S)
            pending.append((until_s, self._begin()))
            time.sleep(self.source.uniform(*BETWEEN_S))
            pending = _undo_due(pending, time.monotonic())
        for _, undo in pending:
            undo()

    def choose(self, source: random.Random) -> str:
        """Choose a host for an operator; a paused one answers nobody."""
        return source.choice([name for name in ZONES if name not in self.away])

    def _begin(self) -> Undo:
        name = self.source.choice(
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
        present = sorted(set(ZONES) - self.away)
        name = self.source.choice(present[1:])
        self.away.add(name)
        began_s = time.monotonic()
        self.cluster.fleet.pause(name)

        def resume() -> None:  # noqa: WPS430
            self._note([name], began_s)
            self.cluster.fleet.resume(name)
            self.away.discard(name)

        return resume

    def _cut(self) -> Undo:
        if self.cluster.cut_zones:
            return lambda: None
        zone = self.source.choice(sorted(set(ZONES.values())))
        began_s = time.monotonic()
        self.cluster.cut(zone)

        def join() -> None:  # noqa: WPS430
            self.cluster.reset_connections()
            names = [name for name, place in ZONES.items() if place == zone]
            self._note(names, began_s)
            self.cluster.cut()

        return join

    def _note(self, names: Iterable[str], began_s: float) -> None:
        for name in names:
            span = (began_s, time.monotonic())
            self.outages.setdefault(name, Outages()).spans.append(span)


def run(seed: int, words: Sequence[str]) -> Figures:
    """Run the experiment and return its figures."""
    with Fleet() as fleet:
        _say('starting seven hosts')
        cluster = Cluster.start(fleet, ZONES)
        keys = _fill(cluster)
        trouble = Trouble(cluster, random.Random(f'trouble {seed}'))
        watchers = _watch(cluster)
        _say('calm')
        calm = _edit(cluster, keys, f'calm-{seed}', trouble, CALM_S)
        _say('failures')
        faults = _edit(cluster, keys, f'faults-{seed}', trouble, FAULTS_S)
        _settle(watchers, [*calm, *faults])
        record = fleet.record('platform')
    _say(f'failures made: {trouble.counts}')
    return _judge(calm, faults, watchers, trouble.outages, record)


def _watch(cluster: Cluster) -> Watchers:
    watchers = {
        name: Watcher(member) for name, member in cluster.members.items()
    }
    for watcher in watchers.values():
        watcher.start()
    return watchers


def _fill(cluster: Cluster) -> list[str]:
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
    cluster.wait_for_revision(change['revision'], ZONES, SETTLE_S)
    return keys


def _row(kind: str, fields: dict[str, Any]) -> dict[str, Any]:
    return {'kind': kind, 'version': 0, 'fields': fields}


def _edit(
    cluster: Cluster,
    keys: Sequence[str],
    seed: str,
    trouble: Trouble,
    duration_s: float,
) -> list[Edit]:
    operators = [
        Operator(cluster, keys, f'{seed}-{number}', trouble.choose)
        for number in range(OPERATORS)
    ]
    for operator in operators:
        operator.start()
    if seed.startswith('calm'):
        time.sleep(duration_s)
    else:
        trouble.run(duration_s)
    edits: list[Edit] = []
    for operator in operators:
        operator.stopping.set()
    for operator in operators:
        operator.join()
        edits.extend(operator.edits)
    return edits


def _settle(watchers: Watchers, edits: Iterable[Edit]) -> None:
    last = max(edit.revision for edit in edits)
    end_s = time.monotonic() + DRAIN_S
    while time.monotonic() < end_s and any(
        watcher.revision() < last for watcher in watchers.values()
    ):
        time.sleep(0.1)
    for watcher in watchers.values():
        watcher.stopping.set()
    for watcher in watchers.values():
        watcher.join()


def _judge(
    calm: Sequence[Edit],
    faults: Sequence[Edit],
    watchers: Watchers,
    outages: dict[str, Outages],
    record: dict[str, Any],
) -> Figures:
    committed = _committed(record)
    edits = [*calm, *faults]
    accepted = [edit for edit in edits if edit.accepted]
    late = [
        edit
        for edit in accepted
        if any(
            watcher.first_with(edit.revision) is None
            for watcher in watchers.values()
        )
    ]
    absent = [
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
        'lost': len(late) + len(absent),
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
        'samples': sum(len(one.samples) for one in watchers.values()),
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
    return round(seconds * MILLISECONDS, 1)


def _undo_due(
    pending: Iterable[tuple[float, Undo]],
    now: float,
) -> list[tuple[float, Undo]]:
    left = []
    for due_s, undo in pending:
        if due_s > now:
            left.append((due_s, undo))
        else:
            undo()
    return left


def _say(message: str) -> None:
    sys.stderr.write(f'table: {message}\n')
