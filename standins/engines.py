"""Stand-in for an engine: its state, batch steps and failures."""

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, TextIO

from tornado.iostream import IOStream

from standins import caches, control, faults, records
from standins.batches import AttemptKey, Batch, PrefillTime, Run
from standins.streams import TokenStream

NO_LIMIT = 1 << 60
NONCE_BITS = 64
REPORT_PERIOD_S = 0.05


@dataclass(slots=True)
class EngineSettings:
    """Settings of an engine; `seed` makes its random failures repeatable."""

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
    """State that orders change, and the orders received."""

    models: list[str]
    role: str
    version: str
    fencing: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)


class Engine(control.Standin):
    """A backend server with continuous batching.

    The handlers of `standins.engine_calls` answer calls; `step` generates
    tokens and writes them to the streams.

    Attributes:
        record_file: gets a line when a run starts or is reattached, so that
            the runs of a killed engine can be rebuilt.
        runs: all runs since the process started, also after `die`.
        runs_by_key: runs that can be reattached or cancelled.
        epochs: highest epoch seen, by generation.
        reports: past load reports, for `load_report_lag_ms`.
        incarnation: new with each start and death.
    """

    switches: faults.EngineSwitches

    def __init__(
        self,
        settings: EngineSettings,
        switches: faults.EngineSwitches,
    ) -> None:
        super().__init__(switches)
        self.settings = settings
        self.record_file: TextIO | None = None
        self.rng = random.Random(f'{settings.seed}/{settings.name}')
        self.nonce_rng = random.SystemRandom()
        self.cache = caches.PrefixCache(settings.cache_entries)
        self.feed = caches.EventFeed(self.cache, self.rng)
        self.prefill_time = PrefillTime(
            switches.prefill_ms, settings.prefill_ms_per_token
        )
        self.batch = Batch(settings.capacity, self.cache, self.prefill_time)
        self.state = ServerState(
            settings.models,
            settings.role,
            settings.version,
        )
        self.runs: list[Run] = []
        self.runs_by_key: dict[AttemptKey, Run] = {}
        self.epochs: dict[str, int] = {}
        self.streams: dict[AttemptKey, TokenStream] = {}
        self.reports: deque[records.LoadReport] = deque()
        self.incarnation = time.time_ns()

    def accept(self, run: Run, connection: IOStream) -> None:
        """Start a run and stream it over a connection."""
        run.nonce = f'{self.nonce_rng.getrandbits(NONCE_BITS):016x}'
        self.runs.append(run)
        self.runs_by_key[run.key] = run
        records.append_line(self.record_file, records.describe_start(run))
        self.batch.submit(run, time.monotonic())
        self.attach(run, connection, run.start)

    def reattach(
        self,
        run: Run,
        key: AttemptKey,
        connection: IOStream,
        offset: int,
    ) -> None:
        """Continue a run under a new key on a new connection."""
        old_stream = self.streams.pop(run.key, None)
        if old_stream:
            old_stream.connection.close()
        self.runs_by_key.pop(run.key)
        run.key = key
        run.reattached.append((key, offset))
        self.runs_by_key[key] = run
        records.append_line(self.record_file, records.describe_start(run))
        self.attach(run, connection, offset)

    def attach(self, run: Run, connection: IOStream, offset: int) -> None:
        """Stream a run from an offset."""
        stream = TokenStream(connection, run, offset)
        self.streams[run.key] = stream
        connection.set_close_callback(lambda: self.detach(stream))

    def detach(self, stream: TokenStream) -> None:
        """Remove a stream whose connection closed."""
        if self.streams.get(stream.key) is stream:
            self.streams.pop(stream.key)
            stream.run.idle_since = time.monotonic()

    def cancel(self, key: AttemptKey) -> bool:
        """Cancel a run; return whether it was still active."""
        run = self.runs_by_key.pop(key, None)
        stream = self.streams.pop(key, None)
        if stream:
            stream.connection.close()
        if run is None or not run.is_active:
            return False
        self.batch.remove(run, 'cancelled', time.monotonic())
        return True

    def update_epoch(self, generation: str, epoch: int) -> bool:
        """Record an epoch; return whether no higher one is known."""
        highest = self.epochs.get(generation, 0)
        self.epochs[generation] = max(highest, epoch)
        return epoch >= highest

    async def run_steps(self) -> None:
        """Step at every token interval; steps missed in a pause are skipped."""
        due = time.monotonic()
        while True:
            interval_s = self.switches.token_interval_ms / control.MS_PER_S
            due = max(due + interval_s, time.monotonic())
            await asyncio.sleep(due - time.monotonic())
            if not (self.switches.freeze or self.switches.dead):
                self.step(time.monotonic())

    def step(self, now: float) -> None:
        """Generate a token for each running run and write new events."""
        self.batch.step(now, self.switches.stop_after_tokens)
        self._drop_abandoned(now)
        faults.cross_streams(self.switches, self.streams.values())
        for stream in tuple(self.streams.values()):
            self._write_pending(stream)
            if self.switches.die_after_tokens == 0:
                self.die()
                break

    def die(self) -> None:
        """Reset all streams and discard all state; dead until revived."""
        self.switches.dead = True
        self.switches.die_after_tokens = None
        for stream in tuple(self.streams.values()):
            stream.abort()
        self.batch.clear()
        self.cache.clear()
        self.feed.clear()
        for collection in (
            self.streams,
            self.runs_by_key,
            self.epochs,
            self.reports,
        ):
            collection.clear()
        self.state.fencing = 0
        self.incarnation = time.time_ns()

    def on_switches_changed(self) -> None:
        """Apply the switches that are not read at each call or step."""
        self.prefill_time.prefill_ms = self.switches.prefill_ms
        if self.switches.dead and self.runs_by_key:
            self.die()

    def record(self) -> dict[str, Any]:
        """Return all runs with their tokens, and the orders."""
        return {
            'name': self.settings.name,
            'incarnation': self.incarnation,
            'runs': [records.describe_run(run) for run in self.runs],
            'orders': self.state.orders,
        }

    def _write_pending(self, stream: TokenStream) -> None:
        tokens_left = self.switches.die_after_tokens
        events = stream.take_events(
            NO_LIMIT if tokens_left is None else tokens_left
        )
        if tokens_left is not None:
            self.switches.die_after_tokens = tokens_left - len(events)
        if events:
            events = faults.inject_fault(self.switches, stream, events)
            stream.write(events)
        elif stream.is_finished and not stream.connection.writing():
            self._finish(stream)

    def _finish(self, stream: TokenStream) -> None:
        stream.write(stream.delayed_events)
        stream.finish()
        self.streams.pop(stream.key)
        stream.run.idle_since = time.monotonic()

    def _drop_abandoned(self, now: float) -> None:
        cutoff_s = now - self.settings.detach_grace_s
        abandoned = [
            run
            for run in self.runs_by_key.values()
            if run.idle_since is not None and run.idle_since < cutoff_s
        ]
        for run in abandoned:
            if run.key in self.streams:
                continue
            if run.is_active:
                self.batch.remove(run, 'abandoned', now)
            self.runs_by_key.pop(run.key)
