"""Cases in which a front exceeds the memory of its machine."""

from __future__ import annotations

import abc
import asyncio
import signal
import time
from pathlib import Path

from rig_2.callers import Call, Caller
from rig_2.platforms import Front, Platform, finish
from rig_2.servers import BackendServer, Pace

MEMORY_MB = 300
CHECK_S = 0.05
REPORT_S = 2.0
SERVERS = 4
DESKS = 3
STAYING_CALLERS = 7
SMALL_BYTES = 8000
LARGE_BYTES = 4_000_000
ALLOWED_LOSSES = 3


class MemoryCase(abc.ABC):
    """Streams on kept connections, and the platform's limit on memory.

    Attributes:
        servers: backend servers of streams.
        desks: backend servers of purchases.
        calls: of the callers that stay, by caller.
        has_ended: no new requests are to be sent.
    """

    def __init__(self, case: Path, length_s: float) -> None:
        self.platform = Platform(case)
        self.length_s = length_s
        self.servers = [
            BackendServer(f'i-{number}', 'narrator', Pace())
            for number in range(SERVERS)
        ]
        self.desks = [
            BackendServer(f'i-desk-{number}', 'indexdesk', Pace())
            for number in range(DESKS)
        ]
        self.calls: list[list[Call]] = []
        self.has_ended = False
        self.began_s = time.monotonic()

    @abc.abstractmethod
    async def load(self, front: Front) -> None:
        """Send the requests of the other callers until the case ends."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Return what the other callers have done so far."""

    async def run(self) -> None:
        """Run the case and end with its exit code."""
        await self.platform.start([*self.servers, *self.desks])
        front = self.platform.add_front('front-glw-a-1')
        await front.wait_until_ready()
        self.began_s = time.monotonic()
        tasks = [
            asyncio.create_task(self.stay(front, SMALL_BYTES))
            for _ in range(STAYING_CALLERS)
        ]
        tasks.append(asyncio.create_task(self.load(front)))
        was_killed = await self.watch_memory(front)
        self.has_ended = True
        await asyncio.wait(tasks)
        finish(self.platform, self.judge(was_killed=was_killed))

    async def watch_memory(self, front: Front) -> bool:
        """Kill the front if it exceeds its memory; return whether it did."""
        reported_s: float = 0
        now_s: float = 0
        while now_s < self.length_s:
            memory_mb = front.memory_mb()
            if now_s >= reported_s:
                reported_s += REPORT_S
                self.platform.write(f'{memory_mb:.0f} MB, {self.describe()}')
            if memory_mb > MEMORY_MB:
                self.platform.write(
                    f'{memory_mb:.0f} MB, {self.describe()}: killed'
                )
                front.signal(signal.SIGKILL)
                return True
            await asyncio.sleep(CHECK_S)
            now_s = time.monotonic() - self.began_s
        return False

    async def stay(self, front: Front, size: int) -> None:
        """Send one stream after the other on one connection."""
        caller = Caller(front.listen)
        calls: list[Call] = []
        self.calls.append(calls)
        while not self.has_ended:
            calls.append(Call('/narrate/a', size, is_stream=True))
            await caller.send(calls[-1])
            if not calls[-1].is_whole:
                break
        caller.close()

    def judge(self, *, was_killed: bool) -> str:
        """Return how the rule LOST was broken; empty if it held."""
        runs = {attempt for server in self.servers for attempt in server.runs}
        lost = [
            calls[-1].attempt
            for calls in self.calls
            if len(calls) > 1
            and not calls[-1].is_whole
            and calls[-1].attempt in runs
        ]
        whole = sum(call.is_whole for calls in self.calls for call in calls)
        self.platform.write(f'{whole} streams were complete')
        for attempt in lost:
            self.platform.write(
                f'request {attempt}, on a kept connection, was passed on and '
                'has no complete answer'
            )
        if was_killed and len(lost) > ALLOWED_LOSSES:
            return f'LOST: {len(lost)} requests ended with their front'
        return ''
