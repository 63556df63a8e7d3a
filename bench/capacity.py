"""Makes docs/CAPACITY.md from the figures of other benches.

Arguments are files that each hold one JSON line of a bench: slopes, relay,
claims.  Without arguments the files of docs/measurements are read.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MEASURED = Path('docs/measurements')
PAGE = Path('docs/CAPACITY.md')
INPUTS = ('slopes', 'relay', 'claims')

HOSTS = 500
BACKENDS = 12_000
ZONES = 10
ACCOUNTS = 4_200
SERVICES = 16
REQUESTS_PER_S = 46_000
TOKENS_PER_S = 12_000_000
TOKEN_INTERVAL_S = 0.046
CHANGES_PER_DAY = 9_100
PEAK_FACTOR = 50
RESTARTS_PER_DAY = 4_000
SHARES_PER_ACCOUNT = 10
KEYED_SHARE = 0.02
ZONE_SEEN_PEERS = HOSTS // ZONES
DAY_S = 86_400
CPU_BUDGET_MS = 34.0
# An idle host alone came to 14.9 to 21.4 ms a second in six runs.
CPU_NOISE_US = 6500
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET = 22_000
PLATFORM_WRITES = 500
PLATFORM_READS = 2_000
ANNOUNCE_S = 3.0
SHIP_S = 5.0
USAGE_S = 10.0
POLL_S = 1.0
MILLION = 1_000_000
THOUSAND = 1_000


@dataclass(frozen=True, slots=True)
class Line:
    """A role's load on one host.

    Attributes:
        role: which part.
        state: what it holds.
        size: number of things it holds or does.
        cpu_ms: CPU milliseconds a second.
        bytes_per_s: bytes a second on inner links.
        memory_mb: resident megabytes.
        mechanism: what keeps it so.
    """

    role: str
    state: str
    size: float
    cpu_ms: float
    bytes_per_s: float
    memory_mb: float
    mechanism: str


def run(seed: int, words: list[str]) -> dict[str, Any]:
    """Write the page and return its sums."""
    paths = [Path(word) for word in words] or [
        MEASURED / f'{name}.json' for name in INPUTS
    ]
    figures = {}
    for path in paths:
        one = json.loads(path.read_text())
        figures[one['bench']] = one
    control = control_lines(figures['slopes'])
    data = data_lines(figures['slopes'], figures['relay'])
    platform = platform_lines(figures['claims'])
    PAGE.write_text('\n'.join(_page(control, data, platform, figures)))
    return {
        'control_cpu_ms': round(sum(line.cpu_ms for line in control), 1),
        'control_bytes_per_s': round(
            sum(line.bytes_per_s for line in control),
        ),
        'control_memory_mb': round(sum(line.memory_mb for line in control), 1),
        'data_cores': round(sum(line.cpu_ms for line in data) / THOUSAND, 2),
        'platform_writes_per_s': round(
            sum(writes for _, writes, _, _ in platform),
        ),
    }


def control_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return what control costs a host."""
    rows = ACCOUNTS * SHARES_PER_ACCOUNT
    return [
        Line(
            'an idle host',
            'the process, timers, HTTP server',
            1,
            slopes['base_cpu_us_per_s'] / THOUSAND,
            0,
            slopes['base_resident_mb'],
            'one process, repeating timers on one grid',
        ),
        _membership(slopes),
        _line(
            slopes['backend_server'],
            'backend owner',
            'load, queue, prefixes of owned servers',
            BACKENDS / HOSTS,
            'one owner a server by rendezvous hash in its zone',
        ),
        _line(
            slopes['table_row'],
            'table replica: shares',
            'weights and limits',
            rows,
            'rows by key; deltas above a revision',
        ),
        _line(
            slopes['client_account'],
            'table replica: accounts',
            'names and key digests',
            ACCOUNTS,
            'as above',
        ),
        _line(
            slopes['table_row'],
            'table replica: backend servers',
            'address, zone, state',
            BACKENDS + SERVICES,
            'as above',
        ),
    ]


def data_lines(slopes: dict[str, Any], relay: dict[str, Any]) -> list[Line]:
    """Return what tokens cost a host."""
    tokens = TOKENS_PER_S / HOSTS
    streams = tokens * TOKEN_INTERVAL_S
    bytes_each = slopes['generation']['sent_bytes_per_s']
    return [
        Line(
            'generation owner',
            'journals, streams of engines and callers',
            streams,
            tokens * relay['host_us_per_token'] / THOUSAND,
            0,
            streams * slopes['generation']['resident_bytes'] / MILLION,
            'tokens in batches, one frame a replica and loop turn',
        ),
        Line(
            'journal replica',
            'copies of journals',
            streams,
            tokens * relay['replica_us_per_token'] / THOUSAND,
            # The slope was measured at one token a second a stream.
            tokens * bytes_each,
            streams * slopes['generation']['resident_bytes'] / MILLION / 2,
            'one replica each, same region, another zone',
        ),
    ]


def platform_lines(
    claims: dict[str, Any],
) -> list[tuple[str, float, float, str]]:
    """Return writes and reads a second of the whole system by cause."""
    changes = CHANGES_PER_DAY / DAY_S * PEAK_FACTOR
    keyed = REQUESTS_PER_S * KEYED_SHARE
    per_claim = claims['platform_writes_per_claim']
    return [
        ('host announcements', HOSTS / ANNOUNCE_S, 0, 'one a host each 3 s'),
        ('time line batches', HOSTS / SHIP_S, 0, 'one a host each 5 s'),
        ('usage batches', HOSTS / USAGE_S, 0, 'one a host each 10 s'),
        (
            'table changes at 50 times the mean',
            changes,
            changes * ZONES,
            'one transaction each',
        ),
        (
            'table polls',
            0,
            ZONES / POLL_S,
            'one poller a zone, the rest hear from peers',
        ),
        (
            f'claims, {KEYED_SHARE:.0%} of requests keyed',
            keyed * per_claim,
            0,
            'claims and answers of some milliseconds share a transaction',
        ),
        (
            'restarted hosts read the table',
            0,
            RESTARTS_PER_DAY / DAY_S * PEAK_FACTOR,
            'a snapshot from a peer, else by pages',
        ),
    ]


def _membership(slopes: dict[str, Any]) -> Line:
    # Its cost is a step from no peer to some: a probe a period, whatever the
    # number of peers.
    peer = slopes['peer']
    step_us = peer['mean_cpu_us_per_s'] - slopes['base_cpu_us_per_s']
    return Line(
        'membership and spread',
        'hosts of its zone, a sample of others',
        ZONE_SEEN_PEERS,
        max(step_us / THOUSAND, 0),
        peer['mean_bytes_per_s'],
        ZONE_SEEN_PEERS * peer['resident_bytes'] / MILLION,
        'one probe a period whatever the size, news on its back',
    )


def _line(
    slope: dict[str, Any],
    role: str,
    state: str,
    size: float,
    mechanism: str,
) -> Line:
    return Line(
        role,
        state,
        size,
        size * _above_noise(slope) / THOUSAND,
        max(size * slope['sent_bytes_per_s'], 0),
        max(size * slope['resident_bytes'] / MILLION, 0),
        mechanism,
    )


def _above_noise(slope: dict[str, Any]) -> float:
    sizes = slope['sizes']
    rise_us = slope['cpu_us_per_s'] * (sizes[-1] - sizes[0])
    return slope['cpu_us_per_s'] if rise_us > CPU_NOISE_US else 0


def _page(
    control: list[Line],
    data: list[Line],
    platform: list[tuple[str, float, float, str]],
    figures: dict[str, Any],
) -> list[str]:
    return [
        '# Capacity at 500 hosts and 12,000 backend servers',
        '',
        'Made by `python -m bench capacity` from the figures in',
        '`docs/measurements/`; do not edit. Slopes come from small runs on one',
        'machine and are extended in straight lines, which is the weakest',
        'point of this page. A rise of CPU time over the measured sizes of',
        f'less than {CPU_NOISE_US / THOUSAND} ms a second is noise and counts',
        'as nothing.',
        '',
        f'Assumed: {ZONES} zones of {HOSTS // ZONES} hosts,',
        f'{BACKENDS // HOSTS} backend servers a host, {SHARES_PER_ACCOUNT}',
        f'share rows an account, {KEYED_SHARE:.0%} of requests with an',
        "Idempotency-Key, the day's peak of changes at",
        f'{PEAK_FACTOR} times the mean.',
        '',
        '## Control, a host',
        '',
        *_table(control),
        *_verdicts(control),
        '',
        '## Data path, a host',
        '',
        *_table(data),
        '',
        f'{TOKENS_PER_S / HOSTS:,.0f} tokens a second a host need',
        f'{sum(line.cpu_ms for line in data) / THOUSAND:.2f} cores',
        'as owner and replica. One host is one process on one loop, so a',
        'node runs several hosts, one a core it gives; a host carries about',
        f'{_tokens_a_core(figures["relay"]):,.0f} tokens a second a core.',
        '',
        '## The platform, whole system',
        '',
        '| cause | writes/s | reads/s | mechanism |',
        '| --- | ---: | ---: | --- |',
        *(
            f'| {cause} | {writes:,.1f} | {reads:,.1f} | {mechanism} |'
            for cause, writes, reads, mechanism in platform
        ),
        *_platform_verdicts(platform),
        '',
        *NOTES,
        '',
    ]


def _table(lines: list[Line]) -> list[str]:
    head = [
        '| role | state | things | CPU ms/s | bytes/s | MB | mechanism |',
        '| --- | --- | ---: | ---: | ---: | ---: | --- |',
    ]
    rows = [
        f'| {line.role} | {line.state} | {line.size:,.0f} | {line.cpu_ms:,.1f}'
        f' | {line.bytes_per_s:,.0f} | {line.memory_mb:,.1f}'
        f' | {line.mechanism} |'
        for line in lines
    ]
    return [*head, *rows]


def _verdicts(lines: list[Line]) -> list[str]:
    return [
        '',
        '| budget a host | allowed | comes to | |',
        '| --- | ---: | ---: | --- |',
        _verdict(
            'CPU ms/s',
            CPU_BUDGET_MS,
            sum(line.cpu_ms for line in lines),
        ),
        _verdict(
            'inner bytes/s',
            BYTES_BUDGET,
            sum(line.bytes_per_s for line in lines),
        ),
        _verdict(
            'MB',
            MEMORY_BUDGET_MB,
            sum(line.memory_mb for line in lines),
        ),
    ]


def _platform_verdicts(
    platform: list[tuple[str, float, float, str]],
) -> list[str]:
    return [
        '',
        '| budget | allowed | comes to | |',
        '| --- | ---: | ---: | --- |',
        _verdict(
            'writes/s',
            PLATFORM_WRITES,
            sum(writes for _, writes, _, _ in platform),
        ),
        _verdict(
            'reads/s',
            PLATFORM_READS,
            sum(reads for _, _, reads, _ in platform),
        ),
    ]


def _verdict(name: str, allowed: float, found: float) -> str:
    outcome = 'fits' if found <= allowed else '**does not fit**'
    return f'| {name} | {allowed:,.0f} | {found:,.1f} | {outcome} |'


def _tokens_a_core(relay: dict[str, Any]) -> float:
    both_us = relay['host_us_per_token'] + relay['replica_us_per_token']
    return MILLION / both_us


NOTES = (
    '## Loss of a zone, restarts, links',
    '',
    '- **A zone is lost.** Its 50 hosts own no backend server of another',
    '  zone, so no owner moves elsewhere. Replicas that stood in it are',
    '  chosen anew, one message a generation, by the owners in the other',
    '  zones of the region; callers of its hosts reconnect and are taken',
    '  over from replicas.',
    '- **4,000 restarts a day** are 0.05 a second: a new host reads one',
    '  snapshot and is told to its zone on the back of probes. Each moves the',
    '  ownership of its 24 backend servers and of nothing else.',
    '- **Region links.** Between regions go table digests and changes (one or',
    '  two hosts a zone), and tokens only where a share row allows another',
    '  region. Journals are replicated inside a region.',
    '- Nothing grows with hosts times hosts or hosts times engines: a host',
    '  knows its zone, a bounded sample of each other zone, and the loads of',
    '  the servers it owns; of others it asks a few owners for each request.',
    '',
    '## What does not fit yet',
    '',
    '- Memory: the process image alone (interpreter and libraries) is close to',
    '  the whole budget for control, as the first line shows.',
    '- CPU: an idle host alone takes more than half of the budget; its profile',
    '  shows no hot spot but the wake-ups for its timers.',
    '- A node that carries 24,000 tokens a second needs several host',
    '  processes, and pays for control once for each.',
    '- The bytes of time line and usage to the platform are not in the table.',
    '- Platform writes: announcements and the batches of single hosts take a',
    '  good part of the budget; gathering them by zone would cut them.',
    '- Not measured: more than nine hosts at once, real distances between',
    '  zones, a platform with many clients.',
)
