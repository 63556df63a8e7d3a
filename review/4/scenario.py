"""A reader without a path to the store hides a configuration too long."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from review.rig.engines import (
    Client,
    Engine,
    Run,
    Sent,
    configuration,
    route,
)
from review.rig.fronts import FrontGroup
from review.rig.outcomes import TROUBLE, Record, run_case
from review.rig.store import Call, Store

ZONE = 'glw-a'
FRONTS = 7
SERVICES = ('desk', 'newdesk')
PREFIX = '/order/'
# configApplyMs of both small deployments.
APPLY_S = 2.5
FIRST_PROBE_S = 2.4
LAST_PROBE_S = 3.2
PROBE_PERIOD_S = 0.02
CUT_S = 4.0
CYCLE_S = 10.0
CYCLES = 9
SETTLE_S = 6.0
POLL_TIMEOUT_S = 5.0


class Cycles:
    """Cuts the reader off, changes the configuration and probes the others.

    Attributes:
        version: of the configuration.
        polled: set when the reader's poll of the configuration was answered.
    """

    def __init__(self, record: Record, fronts: FrontGroup) -> None:
        self.record = record
        self.fronts = fronts
        self.store = Store(on_call=self.on_call)
        self.runs: list[Run] = []
        self.client = Client()
        self.version = 0
        self.reader = ''
        self.polled = asyncio.Event()

    def on_call(self, call: Call) -> None:
        """Notice that a poll of the reader was answered without a change."""
        is_poll = (call.path, call.table) == ('/api/rows-feed', 'op')
        if is_poll and call.caller == self.reader and not call.rows:
            self.polled.set()

    def set_up(self) -> None:
        """Start engines and fronts."""
        for service in SERVICES:
            for number in range(2):
                engine = Engine(f'{service}-{number}', service, ZONE, self.runs)
                engine.serve()
                self.store.put('servers', engine.name, engine.entry())
        self.configure()
        for number in range(FRONTS):
            name = f'front-{number}'
            front = self.fronts.add(name, ZONE, self.store.serve(name))
            self.fronts.start(front)

    def configure(self) -> str:
        """Move the route to the other service; return the service before."""
        self.version += 1
        service = SERVICES[self.version % 2]
        content = configuration(
            self.version, [route(PREFIX, service)], list(SERVICES)
        )
        self.store.put('op', 'config', content)
        self.record.say(f'configuration {self.version}: {PREFIX} to {service}')
        return SERVICES[(self.version + 1) % 2]

    def find_reader(self) -> str:
        """Return the front that the zone's row in the store names."""
        row = self.store.rows['readers', ZONE]
        return str(json.loads(row.text or b'{}').get('host'))

    async def run_once(self) -> int:
        """Run a cycle; return how many requests broke the rule."""
        started_s = time.monotonic()
        self.reader = self.find_reader()
        self.polled.clear()
        async with asyncio.timeout(POLL_TIMEOUT_S):
            await self.polled.wait()
        if TROUBLE:
            self.store.cut.add(self.reader)
            self.record.say(f'{self.reader}, the reader, loses the store')
        old_service = self.configure()
        acknowledged_s = time.monotonic()
        await self.probe(acknowledged_s)
        await asyncio.sleep(acknowledged_s + CUT_S - time.monotonic())
        self.store.cut.clear()
        self.store.notify()
        late = self.find_late(acknowledged_s, old_service)
        self.record.say(f'{len(late)} late requests ran at {old_service}')
        await asyncio.sleep(started_s + CYCLE_S - time.monotonic())
        return len(late)

    async def probe(self, acknowledged_s: float) -> None:
        """Send requests to all fronts but the reader."""
        await asyncio.sleep(FIRST_PROBE_S)
        tasks = []
        while time.monotonic() < acknowledged_s + LAST_PROBE_S:
            tasks.extend(
                asyncio.create_task(
                    self.client.send(name, front.listen, f'{PREFIX}1')
                )
                for name, front in self.fronts.members.items()
                if name != self.reader
            )
            await asyncio.sleep(PROBE_PERIOD_S)
        await asyncio.gather(*tasks)

    def find_late(self, acknowledged_s: float, old_service: str) -> list[Sent]:
        """Return requests sent too late that the old service has run."""
        ran_at = {run.request_id: run.engine for run in self.runs}
        late = []
        for sent in self.client.sent:
            since_s = sent.at_s - acknowledged_s
            engine = ran_at.get(sent.request_id, 'nowhere')
            if since_s <= 0:
                continue
            is_late = since_s > APPLY_S and engine.startswith(f'{old_service}-')
            mark = ' LATE' if is_late else ''
            self.record.write(
                f'{sent.request_id} to {sent.front} {since_s:.3f} s after the '
                f'acknowledgement: ran at {engine}, {sent.status}{mark}',
                sent.at_s,
            )
            if is_late:
                late.append(sent)
        return late


async def case(record: Record, fronts: FrontGroup) -> bool:
    """Return whether a late request was run as an old version allows."""
    cycles = Cycles(record, fronts)
    cycles.set_up()
    await fronts.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    for _ in range(CYCLES):
        if await cycles.run_once():
            return True
    return False


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).resolve().parent))
