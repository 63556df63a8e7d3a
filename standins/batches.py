"""Continuous batching: which runs compute a token at each step."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from standins.caches import Context, PrefixCache
from standins.tokens import make_token

LENGTH = 'length'
STOP = 'stop'


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Who an engine works for: an attempt in an epoch of a generation."""

    generation: str
    epoch: int
    attempt: int


@dataclass(slots=True, eq=False)
class Run:
    """One stretch of engine work and the tokens that it made.

    Offsets count tokens from 0 over prefix and output; `max_tokens` is the
    offset at which the generation ends. Moments are in seconds.
    """

    key: AttemptKey
    prompt: str
    prefix: tuple[str, ...]
    max_tokens: int
    priority: int
    client_account: str
    nonce: str
    seed: int = 0
    output: list[str] = field(default_factory=list)
    state: str = 'waiting'
    end: str | None = None
    prefill_tokens: int = 0
    prefilled_at: float = 0
    idle_since: float | None = None
    reattached: list[tuple[AttemptKey, int]] = field(default_factory=list)

    @property
    def start(self) -> int:
        """Offset of the first token of the run's own."""
        return len(self.prefix)

    @property
    def offset(self) -> int:
        """Offset after the last token so far."""
        return len(self.prefix) + len(self.output)

    @property
    def context(self) -> Context:
        """What the engine has computed over for this run."""
        return Context(self.prompt, (*self.prefix, *self.output))

    @property
    def is_active(self) -> bool:
        """Whether the run still takes or awaits a slot."""
        return self.state in {'waiting', 'running'}

    def read_token(self, offset: int) -> str:
        """Return the token at an offset of prefix or output."""
        if offset < self.start:
            return self.prefix[offset]
        return self.output[offset - self.start]

    def produce(self, stop_offset: int | None) -> None:
        """Compute one token, or find the end."""
        if self.offset < self.max_tokens:
            self.output.append(make_token(self.nonce, self.offset))
        if self.offset >= self.max_tokens:
            self.end = LENGTH
        elif stop_offset is not None and self.offset >= stop_offset:
            self.end = STOP


@dataclass(slots=True)
class Pace:
    """How fast an engine computes, in milliseconds."""

    prefill_ms: float
    prefill_ms_per_token: float


class Batch:
    """Runs in slots and, over capacity, in a queue by priority."""

    def __init__(self, capacity: int, cache: PrefixCache, pace: Pace) -> None:
        self.capacity = capacity
        self.cache = cache
        self.pace = pace
        self.running: list[Run] = []
        self.queue: list[tuple[int, int, Run]] = []
        self.arrivals: Iterator[int] = count()

    @property
    def waiting(self) -> list[Run]:
        """Runs in the queue, in no order."""
        return [run for _, _, run in self.queue if run.is_active]

    def submit(self, run: Run, now: float) -> None:
        """Take a run in; greater priority goes first."""
        entry = (-run.priority, next(self.arrivals), run)
        heapq.heappush(self.queue, entry)
        self.admit(now)

    def admit(self, now: float) -> None:
        """Fill free slots from the queue."""
        while self.queue and len(self.running) < self.capacity:
            run = heapq.heappop(self.queue)[-1]
            if run.is_active:
                self._begin(run, now)

    def step(self, now: float, stop_offset: int | None = None) -> None:
        """Compute a token for each run in a slot that is past its prefill."""
        for run in tuple(self.running):
            if run.prefilled_at <= now:
                run.produce(stop_offset)
            if run.end:
                self.leave(run, 'ended', now)

    def leave(self, run: Run, state: str, now: float) -> None:
        """Take a run out of its slot or of the queue."""
        if run in self.running:
            self.running.remove(run)
            self.cache.store(run.context, now)
        run.state = state
        run.idle_since = now
        self.admit(now)

    def clear(self) -> None:
        """Lose all runs, as an engine that dies does."""
        for run in (*self.running, *self.waiting):
            run.state = 'lost'
        self.running.clear()
        self.queue.clear()

    def _begin(self, run: Run, now: float) -> None:
        context = run.context
        run.state = 'running'
        run.prefill_tokens = self.cache.count_missing(context)
        prefill_ms = (
            self.pace.prefill_ms
            + self.pace.prefill_ms_per_token * run.prefill_tokens
        )
        run.prefilled_at = now + prefill_ms / 1000
        self.cache.store(context, now)
        self.running.append(run)
