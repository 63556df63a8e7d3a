"""The stand-in model engine: its state, its steps and its failures."""

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, TextIO

from tornado.iostream import IOStream

from standins import caches, control, faults, records
from standins.batches import AttemptKey, Batch, Pace, Run
from standins.streams import TokenStream

NO_LIMIT = 1 << 60
NONCE_BITS = 64
REPORT_PERIOD_S = 0.05


@dataclass(slots=True)
class EngineSettings:
    """What an engine is; times in milliseconds unless named otherwise."""

    name: str
    models: list[str]
    role: str = 'mixed'
    version: str = '1'
    seed: int = 0
    capacity: int = 16
    prefill_ms_per_token: float = 0
    cache_entries: int = 64
    detach_grace_s: float = 5


@dataclass(slots=True)
class ServerState:
    """What orders change."""

    models: list[str]
    role: str
    version: str
    fencing: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)


class Engine(control.Standin):
    """A backend server that batches continuously.

    Calls are answered by the handlers; `step` computes and writes.
    """

    switches: faults.EngineSwitches

    def __init__(
        self,
        settings: EngineSettings,
        switches: faults.EngineSwitches,
    ) -> None:
        super().__init__(switches)
        self.settings = settings
        self.log: TextIO | None = None
        self.rng = random.Random(f'{settings.seed}/{settings.name}')
        self.nonces = random.SystemRandom()
        self.cache = caches.PrefixCache(settings.cache_entries)
        self.feed = caches.EventFeed(self.cache, self.rng)
        self.pace = Pace(switches.prefill_ms, settings.prefill_ms_per_token)
        self.batch = Batch(settings.capacity, self.cache, self.pace)
        self.state = ServerState(
            settings.models,
            settings.role,
            settings.version,
        )
        self.runs: list[Run] = []
        self.known: dict[AttemptKey, Run] = {}
        self.epochs: dict[str, int] = {}
        self.streams: dict[AttemptKey, TokenStream] = {}
        self.reports: deque[records.LoadReport] = deque()
        self.incarnation = time.time_ns()

    def accept(self, run: Run, connection: IOStream) -> None:
        """Start a run and stream it to its caller."""
        run.nonce = f'{self.nonces.getrandbits(NONCE_BITS):016x}'
        self.runs.append(run)
        self.known[run.key] = run
        records.append_line(self.log, records.describe_start(run))
        self.batch.submit(run, time.monotonic())
        self.attach(run, connection, run.start)

    def reattach(
        self,
        run: Run,
        key: AttemptKey,
        connection: IOStream,
        offset: int,
    ) -> None:
        """Go on with a run under a new key on a new connection."""
        old_stream = self.streams.pop(run.key, None)
        if old_stream:
            old_stream.connection.close()
        self.known.pop(run.key)
        run.key = key
        run.reattached.append((key, offset))
        self.known[key] = run
        records.append_line(self.log, records.describe_start(run))
        self.attach(run, connection, offset)

    def attach(self, run: Run, connection: IOStream, offset: int) -> None:
        """Stream a run from an offset."""
        stream = TokenStream(connection, run, offset)
        self.streams[run.key] = stream
        connection.set_close_callback(lambda: self.detach(stream))

    def detach(self, stream: TokenStream) -> None:
        """Note that a stream's connection is gone."""
        if self.streams.get(stream.key) is stream:
            self.streams.pop(stream.key)
            stream.run.idle_since = time.monotonic()

    def cancel(self, key: AttemptKey) -> bool:
        """End a run; return whether it still worked."""
        run = self.known.pop(key, None)
        stream = self.streams.pop(key, None)
        if stream:
            stream.connection.close()
        if run is None or not run.is_active:
            return False
        self.batch.leave(run, 'cancelled', time.monotonic())
        return True

    def learn_epoch(self, generation: str, epoch: int) -> bool:
        """Remember an epoch; return whether it is the highest known."""
        highest = self.epochs.get(generation, 0)
        self.epochs[generation] = max(highest, epoch)
        return epoch >= highest

    async def run_steps(self) -> None:
        """Step at every token interval, without catching up after a pause."""
        due = time.monotonic()
        while True:
            interval_s = self.switches.token_interval_ms / control.MS_PER_S
            due = max(due + interval_s, time.monotonic())
            await asyncio.sleep(due - time.monotonic())
            if not (self.switches.freeze or self.switches.dead):
                self.step(time.monotonic())

    def step(self, now: float) -> None:
        """Compute a token for each running run and write what is new."""
        self.batch.step(now, self.switches.stop_after_tokens)
        self._drop_abandoned(now)
        faults.cross_streams(self.switches, self.streams.values())
        for stream in tuple(self.streams.values()):
            self._push(stream)
            if self.switches.die_after_tokens == 0:
                self.die()
                break

    def die(self) -> None:
        """Reset every stream and lose all state until revived."""
        self.switches.dead = True
        self.switches.die_after_tokens = None
        for stream in tuple(self.streams.values()):
            stream.abort()
        self.batch.clear()
        self.cache.clear()
        self.feed.clear()
        for memory in (self.streams, self.known, self.epochs, self.reports):
            memory.clear()
        self.state.fencing = 0
        self.incarnation = time.time_ns()

    def on_switched(self) -> None:
        """Take changed switches in force."""
        self.pace.prefill_ms = self.switches.prefill_ms
        if self.switches.dead and self.known:
            self.die()

    def record(self) -> dict[str, Any]:
        """Return every run with its tokens, and the orders."""
        return {
            'name': self.settings.name,
            'incarnation': self.incarnation,
            'runs': [records.describe_run(run) for run in self.runs],
            'orders': self.state.orders,
        }

    def _push(self, stream: TokenStream) -> None:
        fuse = self.switches.die_after_tokens
        events = stream.take(NO_LIMIT if fuse is None else fuse)
        if fuse is not None:
            self.switches.die_after_tokens = fuse - len(events)
        if events:
            events = faults.distort(self.switches, stream, events)
            stream.write(events)
        elif stream.is_finished and not stream.connection.writing():
            self._finish(stream)

    def _finish(self, stream: TokenStream) -> None:
        stream.write(stream.held)
        stream.finish()
        self.streams.pop(stream.key)
        stream.run.idle_since = time.monotonic()

    def _drop_abandoned(self, now: float) -> None:
        latest = now - self.settings.detach_grace_s
        abandoned = [
            run
            for run in self.known.values()
            if run.idle_since is not None and run.idle_since < latest
        ]
        for run in abandoned:
            if run.key in self.streams:
                continue
            if run.is_active:
                self.batch.leave(run, 'abandoned', now)
            self.known.pop(run.key)
