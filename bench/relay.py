"""CPU time per token of an entry host, compared with a bare relay.

In each round 100 streams run through the bare relay and then 100 through the
host, which journals them to a replica in another availability zone before
delivery.  CPU time is measured only while all streams run.
"""

import asyncio
import os
import statistics
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.rigs import Place, Rig, caller_headers, completion, start_two_hosts
from bench.streams import StreamCounts, StreamRequest, read_stream
from standins.launching import Fleet, find_free_port
from standins.processes import ManagedProcess

STREAMS = 100
ENGINES = 4
TOKEN_INTERVAL_MS = 20
ENDLESS_TOKENS = 150_000
OPEN_TIMEOUT_S = 8
POLL_INTERVAL_S = 0.05
WINDOW_S = 2.5
PAUSE_S = 0.7
ENGINE_GRACE_S = 0.2
ROUNDS = 4
US_PER_S = 1_000_000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Indexes of utime and stime in /proc/PID/stat after the command name.
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class Round:
    """CPU microseconds per token of bare relay, owner host and replica host."""

    bare_us: float
    host_us: float
    replica_us: float


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Measure relay and host in turns and return the median figures."""
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
        hosts = start_two_hosts(rig)
        time.sleep(2 * PAUSE_S)
        rounds = []
        for number in range(ROUNDS):
            measured = asyncio.run(
                _measure(fleet, f'{seed}-{number}', hosts[0])
            )
            sys.stderr.write(f'{measured}\n')
            rounds.append(measured)
        return _summarise(rounds)


def _start_bare_relay(fleet: Fleet) -> ManagedProcess:
    engines = [
        f'http://{member.address}'
        for name, member in fleet.members.items()
        if name.startswith('engine-')
    ]
    listen = f'127.0.0.1:{find_free_port()}'
    arguments = ['bench.bare', '--listen', listen, '--to', ','.join(engines)]
    with (fleet.folder / 'bare.out').open('w') as output:
        process = fleet.spawn('bare', arguments, output)
    bare = ManagedProcess('bare', process, listen, '')
    fleet.members['bare'] = bare
    return bare


async def _measure(fleet: Fleet, name: str, host: str) -> Round:
    # Each round starts a new bare relay: tornado's client cannot cancel a
    # stream, so the streams of the previous round would still use its CPU.
    bare = _start_bare_relay(fleet)
    await asyncio.sleep(PAUSE_S)
    names = [f'{name}-{stream}' for stream in range(STREAMS)]
    requests = [
        _bare_request(bare.address, stream_name) for stream_name in names
    ]
    (bare_us,) = await _measure_window([bare.pid], requests)
    fleet.kill('bare')
    await asyncio.sleep(PAUSE_S)
    requests = [_host_request(host, stream_name) for stream_name in names]
    pids = [fleet.members['host-a'].pid, fleet.members['host-b'].pid]
    host_us, replica_us = await _measure_window(pids, requests)
    return Round(bare_us, host_us, replica_us)


def _summarise(rounds: list[Round]) -> dict[str, Any]:
    bare_us = statistics.median(each.bare_us for each in rounds)
    host_us = statistics.median(each.host_us for each in rounds)
    replica_us = statistics.median(each.replica_us for each in rounds)
    ratio = statistics.median(each.host_us / each.bare_us for each in rounds)
    return {
        'host_us_per_token': round(host_us, 2),
        'bare_us_per_token': round(bare_us, 2),
        'ratio': round(ratio, 3),
        'replica_us_per_token': round(replica_us, 2),
        'streams': STREAMS,
        'rounds': len(rounds),
    }


def _host_request(host: str, name: str) -> StreamRequest:
    body = completion(f'narrative {name}', ENDLESS_TOKENS)
    return StreamRequest(host, '/v1/completions', body, caller_headers())


def _bare_request(address: str, name: str) -> StreamRequest:
    body = {
        'generation': f'bare-{name}',
        'epoch': 1,
        'attempt': 1,
        'prompt': f'narrative {name}',
        'max_tokens': ENDLESS_TOKENS,
    }
    return StreamRequest(address, '/v1/generate', body, {})


async def _measure_window(
    pids: list[int], requests: list[StreamRequest]
) -> list[float]:
    counts = StreamCounts()
    tasks = [
        asyncio.create_task(read_stream(request, counts))
        for request in requests
    ]
    try:
        costs = await _measure_cpu_us(pids, counts)
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    errors = [result for result in results if isinstance(result, OSError)]
    if errors or counts.failed:
        raise ConnectionError(
            f'{counts.failed} streams refused, errors: {errors}'
        )
    await asyncio.sleep(PAUSE_S)
    return costs


async def _measure_cpu_us(pids: list[int], counts: StreamCounts) -> list[float]:
    async with asyncio.timeout(OPEN_TIMEOUT_S):
        while counts.opened < STREAMS:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
    before = [_cpu_s(pid) for pid in pids]
    events = counts.events
    await asyncio.sleep(WINDOW_S)
    after = [_cpu_s(pid) for pid in pids]
    events = counts.events - events
    return [
        US_PER_S * (late - early) / events
        for early, late in zip(before, after, strict=True)
    ]


def _cpu_s(pid: int) -> float:
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS_PER_S
