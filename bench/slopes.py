"""What a host uses for each peer, server, row, account and generation.

One kind of object is added at a time, in three steps.  After each step the CPU
time, the bytes on inner links and the memory of the otherwise idle host are
measured.  The slopes are least-squares fits.
"""

import asyncio
import hashlib
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from statistics import mean
from typing import Any

from bench.processes import read_usage
from bench.rigs import (
    OPERATOR_KEY,
    SERVICE,
    Place,
    Rig,
    caller_headers,
    completion,
)
from bench.streams import StreamCounts, StreamRequest, read_stream
from standins.calls import call
from standins.launching import Fleet

WINDOW_S = 1.3
SETTLE_S = 0.4
IMPORT_ROWS = 800
PEERS = (2, 4, 8)
ROWS = (1000, 2500, 5000)
ACCOUNTS = (500, 1250, 2500)
BACKENDS = (10, 40, 80)
GENERATIONS = (40, 120, 240)
ENDLESS_TOKENS = 200_000
SLOW_TOKEN_MS = 1000
MILLION = 1_000_000
OPERATOR_HEADERS = {'Authorization': f'Bearer {OPERATOR_KEY}'}


@dataclass(frozen=True, slots=True)
class Sample:
    """Resources a host uses with a given number of objects.

    Attributes:
        size: number of objects.
        cpu_us_per_s: CPU microseconds a second.
        sent_bytes_per_s: bytes a second on inner links, sent.
        received_bytes_per_s: the same, received.
        resident_bytes: resident memory.
    """

    size: int
    cpu_us_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    resident_bytes: float


class MeasuredHost:
    """The host that is measured, and the objects that load it."""

    def __init__(self, rig: Rig, address: str) -> None:
        self.rig = rig
        self.fleet = rig.fleet
        self.address = address
        self.pid = self.fleet.members['host-a'].pid
        self.peers = 0
        self.generations: list[asyncio.Task] = []
        self.counts = StreamCounts()

    async def sample(self, size: int) -> Sample:
        """Measure the host for `WINDOW_S` with ``size`` objects."""
        await asyncio.sleep(SETTLE_S)
        before, sent, received = read_usage(self.pid), *self._inner_bytes()
        start_s = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        after, sent_after, received_after = (
            read_usage(self.pid),
            *self._inner_bytes(),
        )
        elapsed_s = time.monotonic() - start_s
        sample = Sample(
            size,
            MILLION * (after.cpu_s - before.cpu_s) / elapsed_s,
            (sent_after - sent) / elapsed_s,
            (received_after - received) / elapsed_s,
            after.resident_bytes,
        )
        sys.stderr.write(f'{sample}\n')
        return sample

    async def add_peers(self, size: int) -> None:
        """Start further hosts in the same zone, up to ``size`` peers."""
        while self.peers < size:
            self.peers += 1
            self.rig.add_host(f'peer-{self.peers}', Place())

    async def add_accounts(self, size: int) -> None:
        """Create client accounts, up to ``size``."""
        names = [f'account-{number}' for number in range(size)]
        rows = [
            _row(
                'client_account',
                name,
                name=name,
                key_digest=hashlib.sha256(name.encode()).hexdigest(),
            )
            for name in names
        ]
        self.import_rows(rows, size)

    async def add_shares(self, size: int) -> None:
        """Create share rows, up to ``size``."""
        rows = [
            _row(
                'share',
                f'*:account-{number}',
                backend_server='*',
                client_account=f'account-{number}',
                weight=1,
                limit=100,
            )
            for number in range(ACCOUNTS[-1])
        ]
        engine_shares = [
            _row(
                'share',
                f'engine-0:account-{number}',
                backend_server='engine-0',
                client_account=f'account-{number}',
                weight=2,
                limit=10,
            )
            for number in range(ACCOUNTS[-1])
        ]
        self.import_rows([*rows, *engine_shares], size)

    async def add_backends(self, size: int) -> None:
        """Add backend servers in the host's zone, up to ``size``.

        All have the address of the one engine.
        """
        url = f'http://{self.fleet.members["engine-0"].address}'
        rows = [
            _row(
                'backend_server',
                f'engine-{number}',
                name=f'engine-{number}',
                url=url,
                region=Place().region,
                availability_zone=Place().availability_zone,
                service=SERVICE,
            )
            for number in range(1, size + 1)
        ]
        self.import_rows(rows, size)

    async def add_generations(self, size: int) -> None:
        """Open streams of one token a second, up to ``size``."""
        while len(self.generations) < size:
            number = len(self.generations)
            body = completion(f'narrative {number}', ENDLESS_TOKENS)
            request = StreamRequest(
                self.address,
                '/v1/completions',
                body,
                caller_headers(),
            )
            task = asyncio.create_task(read_stream(request, self.counts))
            self.generations.append(task)
        await asyncio.sleep(2 * SETTLE_S)
        if self.counts.failed:
            raise ConnectionError(f'{self.counts.failed} streams refused')

    def import_rows(self, rows: list[dict[str, Any]], size: int) -> None:
        """Write those of the first ``size`` rows that are not written yet."""
        rows_needed = rows[:size]
        known = {(row['kind'], row['key']) for row in self.rig.rows}
        new = [
            row for row in rows_needed if (row['kind'], row['key']) not in known
        ]
        for first in range(0, len(new), IMPORT_ROWS):
            part = new[first : first + IMPORT_ROWS]
            status, body = call(
                self.address,
                'POST',
                '/operator/table/import',
                {'rows': part},
                OPERATOR_HEADERS,
            )
            if status != HTTPStatus.OK:
                raise ConnectionError(str(body))
        self.rig.rows.extend(new)

    def _inner_bytes(self) -> tuple[int, int]:
        _, status = call(
            self.address,
            'GET',
            '/operator/status',
            headers=OPERATOR_HEADERS,
        )
        return status['inner_bytes_sent'], status['inner_bytes_received']


def run(seed: int, arguments: list[str]) -> dict[str, Any]:
    """Add each kind of object in steps and return the fitted slopes."""
    with Fleet() as fleet:
        rig = Rig.start(fleet)
        rig.add_engine(
            'engine-0',
            Place(),
            token_interval_ms=SLOW_TOKEN_MS,
            capacity=2 * GENERATIONS[-1],
            seed=seed,
        )
        address = rig.add_host('host-a', Place())
        rig.fill_table(address)
        return asyncio.run(_measure(MeasuredHost(rig, address)))


async def _measure(host: MeasuredHost) -> dict[str, Any]:
    base = await host.sample(0)
    figures: dict[str, Any] = {
        'base_cpu_us_per_s': round(base.cpu_us_per_s),
        'base_resident_mb': round(base.resident_bytes / MILLION, 1),
    }
    steps = (
        ('peer', PEERS, host.add_peers),
        ('client_account', ACCOUNTS, host.add_accounts),
        ('table_row', ROWS, host.add_shares),
        ('backend_server', BACKENDS, host.add_backends),
        ('generation', GENERATIONS, host.add_generations),
    )
    for name, sizes, add in steps:
        sys.stderr.write(f'{name}\n')
        samples = []
        for size in sizes:
            await add(size)
            samples.append(await host.sample(size))
        figures[name] = fit(samples)
    for task in host.generations:
        task.cancel()
    await asyncio.gather(*host.generations, return_exceptions=True)
    return figures


def fit(samples: list[Sample]) -> dict[str, Any]:
    """Return the slope of each figure per object, and some means."""
    return {
        'sizes': [sample.size for sample in samples],
        'cpu_us_per_s': _slope(samples, lambda sample: sample.cpu_us_per_s),
        'sent_bytes_per_s': _slope(
            samples, lambda sample: sample.sent_bytes_per_s
        ),
        'received_bytes_per_s': _slope(
            samples,
            lambda sample: sample.received_bytes_per_s,
        ),
        'resident_bytes': _slope(samples, lambda sample: sample.resident_bytes),
        'mean_cpu_us_per_s': round(
            mean(sample.cpu_us_per_s for sample in samples)
        ),
        'mean_bytes_per_s': round(
            mean(
                sample.sent_bytes_per_s + sample.received_bytes_per_s
                for sample in samples
            ),
        ),
    }


def _slope(samples: list[Sample], figure: Callable[[Sample], float]) -> float:
    sizes = [sample.size for sample in samples]
    values = [figure(sample) for sample in samples]
    middle = mean(sizes)
    level = mean(values)
    spread = sum((size - middle) ** 2 for size in sizes)
    shared = sum(
        (size - middle) * (value - level)
        for size, value in zip(sizes, values, strict=True)
    )
    return round(shared / spread, 3)


def _row(row_kind: str, key: str, **fields: Any) -> dict[str, Any]:
    return {'kind': row_kind, 'key': key, 'version': 0, 'fields': fields}
