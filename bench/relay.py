"""CPU time a token costs an entry host, against a bare relay.

100 streams run through the host, which journals them to a replica in another
availability zone before delivery, and as many through the bare relay, in
turns.  Only the time while all streams run is measured.
"""

import asyncio
import os
import statistics
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.rigs import Place, Rig, caller_headers, completion, two_hosts
from bench.streams import Call, Counts, read_stream
from standins.launching import Fleet, find_free_port
from standins.processes import ManagedProcess

STREAMS = 100
ENGINES = 4
TOKEN_INTERVAL_MS = 20
ENDLESS_TOKENS = 150_000
OPEN_TIMEOUT_S = 8
POLL_S = 0.05
WINDOW_S = 2.5
REST_S = 0.7
ENGINE_GRACE_S = 0.2
ROUNDS = 4
MICROSECONDS = 1_000_000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class Round:
    """CPU microseconds a token: bare relay, owner and replica host."""

    bare_us: float
    host_us: float
    replica_us: float


def run(seed: int, words: list[str]) -> dict[str, Any]:
    """Measure in turns and return microseconds a token and their ratio."""
    with Fleet() as fleet:
        rig = Rig.start(fleet)
        for number in range(ENGINES):
            rig.add_engine(
                f'engine-{number}',
                Place(),
                token_interval_ms=TOKEN_INTERVAL_MS,
                capacity=STREAMS,
                detach_grace_s=ENGINE_GRACE_S,
            )
        hosts = two_hosts(rig)
        time.sleep(2 * REST_S)
        rounds = []
        for number in range(ROUNDS):
            one = asyncio.run(_measure(fleet, f'{seed}-{number}', hosts[0]))
            sys.stderr.write(f'{one}\n')
            rounds.append(one)
        return _summarise(rounds)


def _start_bare(fleet: Fleet) -> ManagedProcess:
    engines = [
        f'http://{member.address}'
        for name, member in fleet.members.items()
        if name.startswith('engine-')
    ]
    listen = f'127.0.0.1:{find_free_port()}'
    words = ['bench.bare', '--listen', listen, '--to', ','.join(engines)]
    with (fleet.folder / 'bare.out').open('w') as output:
        process = fleet.spawn('bare', words, output)
    bare = ManagedProcess('bare', process, listen, '')
    fleet.members['bare'] = bare
    return bare


async def _measure(fleet: Fleet, name: str, host: str) -> Round:
    # A new bare relay each round: tornado's client cannot cancel a stream,
    # so those of the round before would go on at its cost.
    bare = _start_bare(fleet)
    await asyncio.sleep(REST_S)
    names = [f'{name}-{stream}' for stream in range(STREAMS)]
    calls = [_bare_call(bare.address, one) for one in names]
    (bare_us,) = await _window([bare.pid], calls)
    fleet.kill('bare')
    await asyncio.sleep(REST_S)
    calls = [_host_call(host, one) for one in names]
    pids = [fleet.members['host-a'].pid, fleet.members['host-b'].pid]
    host_us, replica_us = await _window(pids, calls)
    return Round(bare_us, host_us, replica_us)


def _summarise(rounds: list[Round]) -> dict[str, Any]:
    bare_us = statistics.median(one.bare_us for one in rounds)
    host_us = statistics.median(one.host_us for one in rounds)
    replica_us = statistics.median(one.replica_us for one in rounds)
    ratio = statistics.median(one.host_us / one.bare_us for one in rounds)
    return {
        'host_us_per_token': round(host_us, 2),
        'bare_us_per_token': round(bare_us, 2),
        'ratio': round(ratio, 3),
        'replica_us_per_token': round(replica_us, 2),
        'streams': STREAMS,
        'rounds': len(rounds),
    }


def _host_call(host: str, name: str) -> Call:
    body = completion(f'narrative {name}', ENDLESS_TOKENS)
    return Call(host, '/v1/completions', body, caller_headers())


def _bare_call(address: str, name: str) -> Call:
    body = {
        'generation': f'bare-{name}',
        'epoch': 1,
        'attempt': 1,
        'prompt': f'narrative {name}',
        'max_tokens': ENDLESS_TOKENS,
    }
    return Call(address, '/v1/generate', body, {})


async def _window(pids: list[int], calls: list[Call]) -> list[float]:
    counts = Counts()
    tasks = [asyncio.create_task(read_stream(one, counts)) for one in calls]
    try:
        costs = await _observe(pids, counts)
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
    faults = [one for one in ended if isinstance(one, OSError)]
    if faults or counts.failed:
        raise ConnectionError(f'{counts.failed} refused, {faults}')
    await asyncio.sleep(REST_S)
    return costs


async def _observe(pids: list[int], counts: Counts) -> list[float]:
    async with asyncio.timeout(OPEN_TIMEOUT_S):
        while counts.opened < STREAMS:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    before = [_cpu_s(pid) for pid in pids]
    events = counts.events
    await asyncio.sleep(WINDOW_S)
    after = [_cpu_s(pid) for pid in pids]
    events = counts.events - events
    return [
        MICROSECONDS * (late - early) / events
        for early, late in zip(before, after, strict=True)
    ]


def _cpu_s(pid: int) -> float:
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS_PER_S
