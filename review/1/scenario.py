"""An engine that repeats an event without end stops a front."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import subprocess
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

from review.rig.engines import (
    HOST,
    KEY,
    Client,
    Engine,
    Run,
    configuration,
    route,
)
from review.rig.fronts import ROOT, ZONES, Front, FrontGroup
from review.rig.outcomes import TROUBLE, Record, run_case
from review.rig.store import Store

DESK = 'indexdesk'
NARRATOR = 'narrator'
ENGINES = 6  # narrators of a zone, of which one is faulty in all
# Spoiled answers of the faulty engine.
FLOODS = os.environ.get('FLOODS', '1')
# Requests a second, as the sheet of the small deployment has them.
PURCHASES_PER_S = 28.2
STREAMS_PER_S = 4.675
TIMEOUT_S = 2.0  # timeoutMs of purchases there
LATE_S = 0.5
MIN_LATE = 8
MAX_SHARE = 0.25
STREAM_DEADLINE_MS = 25_000
STREAM_TIMEOUT_S = 27.0
EVENTS = 130
TOKENS_PER_EVENT = 7
READ_BYTES = 65_536
TRAFFIC_S = 30.0
SETTLE_S = 5.0


class Deployment:
    """The processes and the traffic of the case."""

    def __init__(self, record: Record, fronts: FrontGroup) -> None:
        self.record = record
        self.fronts = fronts
        self.store = Store()
        self.runs: list[Run] = []
        self.client = Client()
        self.ended_s: dict[str, float] = {}
        self.processes: list[subprocess.Popen[str]] = []

    def set_up(self) -> None:
        """Start engines and fronts."""
        for zone in ZONES:
            desk = Engine(f'desk-{zone}', DESK, zone, self.runs)
            desk.serve()
            self.store.put('servers', desk.name, desk.entry())
            for number in range(ENGINES):
                self.start_narrator(f'narrator-{zone}-{number}', zone)
            front = self.fronts.add(
                f'front-{zone}', zone, self.store.serve(zone)
            )
            self.fronts.start(front)
        stream = {
            **route('/narrate/', NARRATOR),
            'kind': 'streaming',
            'timeoutMs': STREAM_DEADLINE_MS,
            'latencyTargetMs': 4500,
            'gapTargetMs': 700,
            'maxAttempts': 5,
            'streamResume': True,
        }
        order = {**route('/order/', DESK), 'timeoutMs': 2000}
        content = configuration(1, [stream, order], [DESK, NARRATOR])
        self.store.put('op', 'config', content)

    def start_narrator(self, name: str, zone: str) -> None:
        """Start a narrator; the first one is faulty."""
        floods = FLOODS if TROUBLE and not self.processes else '0'
        process = subprocess.Popen(
            [sys.executable, '-m', 'review.rig.flood'],
            cwd=ROOT,
            env={**os.environ, 'FLOODS': floods, 'NAME': name},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        line = process.stdout.readline() if process.stdout else ''
        address, _, born = line.strip().partition(' ')
        entry = {
            'service': NARRATOR,
            'address': address,
            'zone': zone,
            'version': '1',
            'slots': 12,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': int(born),
        }
        self.store.put('servers', name, entry)

    def close(self) -> None:
        """End the engines."""
        for process in self.processes:
            process.kill()
            process.wait()

    async def purchase(self, front: Front) -> None:
        """Send a purchase."""
        sent = await self.client.send(front.name, front.listen, '/order/1')
        self.ended_s[sent.request_id] = time.monotonic()

    async def stream(self, front: Front) -> None:
        """Send a stream and read its answer."""
        request_id = secrets.token_hex(8)
        host, _, port = front.listen.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [
            'POST /narrate/1 HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {request_id}',
            f'Deadline-Ms: {STREAM_DEADLINE_MS}',
            f'Authorization: Bearer {KEY}',
            'Model: m',
            f'Token-Count: 8200,{EVENTS * TOKENS_PER_EVENT}',
            f'Prompt-Prefix: {secrets.token_hex(4)}:8200',
            'Connection: close',
            'Content-Length: 2',
            '',
            '{}',
        ]
        writer.write('\r\n'.join(head).encode())
        self.record.write(f'{request_id} stream to {front.name}')
        answer = bytearray()
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                while chunk := await reader.read(READ_BYTES):
                    answer += chunk
        except (OSError, TimeoutError) as error:
            self.record.write(f'{request_id} {error!r}')
        writer.close()
        events = answer.count(b'id: ')
        self.record.write(f'{request_id} ended after {events} events')

    async def send_traffic(self) -> None:
        """Send purchases and streams to all fronts in turn."""
        tasks = [
            asyncio.create_task(
                self.send_steadily(self.purchase, PURCHASES_PER_S)
            ),
            asyncio.create_task(self.send_steadily(self.stream, STREAMS_PER_S)),
        ]
        await asyncio.gather(*tasks)

    async def send_steadily(self, send: Any, per_s: float) -> None:
        """Send requests at a steady rate and wait for their ends."""
        fronts = list(self.fronts.members.values())
        tasks = []
        started_s = time.monotonic()
        count = int(TRAFFIC_S * per_s)
        for number in range(count):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            front = fronts[number % len(fronts)]
            tasks.append(asyncio.create_task(send(front)))
        await asyncio.gather(*tasks)

    def assess(self) -> bool:
        """Return whether too many purchases outlast their time-out."""
        lasting = 0
        unanswered = 0
        for sent in self.client.sent:
            took_s = self.ended_s[sent.request_id] - sent.at_s
            late = took_s > TIMEOUT_S + LATE_S or not sent.status
            lasting += late or took_s > TIMEOUT_S
            unanswered += late
            self.record.write(
                f'{sent.request_id} purchase to {sent.front}: {sent.status} '
                f'after {took_s:.3f} s{" LATE" if late else ""}',
                sent.at_s,
            )
        ran = {run.request_id for run in self.runs}
        failed = [
            purchase.request_id
            for purchase in self.client.sent
            if purchase.status != HTTPStatus.OK
        ]
        failed_after_run = len(ran.intersection(failed))
        self.record.say(
            f'{len(self.client.sent)} purchases, {len(failed)} failed, of '
            f'which {failed_after_run} had run; {lasting} lasted over '
            f'{TIMEOUT_S} s, {unanswered} of them over {TIMEOUT_S + LATE_S} s'
        )
        return unanswered >= MIN_LATE and unanswered > lasting * MAX_SHARE


async def case(record: Record, fronts: FrontGroup) -> bool:
    """Return whether too many purchases outlast their time-out."""
    deployment = Deployment(record, fronts)
    with contextlib.closing(deployment):
        deployment.set_up()
        await fronts.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        await deployment.send_traffic()
        return deployment.assess()


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).resolve().parent))
