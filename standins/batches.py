"""Continuous batching: which runs generate a token at each step."""

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
    """Identifies an attempt within an epoch of a generation."""

    generation: str
    epoch: int
    attempt: int


@dataclass(slots=True, eq=False)
class Run:
    """An engine's work on one or more attempts, and the tokens it generated.

    Offsets count tokens from 0 over prefix and output; `max_tokens` is the
    offset at which the generation ends. Times are monotonic seconds.

    Attributes:
        key: the attempt that the run serves now.
        nonce: random text from which the run's tokens are derived.
        state: ``waiting``, ``running``, ``ended``, ``cancelled``,
            ``abandoned`` or ``lost``.
        end: finish reason, None before the end.
        prefilled_at: time from which tokens are generated.
        idle_since: when the run last lost its caller or ended, None before.
        reattached: later attempts that took the run over, with the offset
            from which each read.
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
        """Offset of the first token that this run generates."""
        return len(self.prefix)

    @property
    def offset(self) -> int:
        """Offset after the last token generated so far."""
        return len(self.prefix) + len(self.output)

    @property
    def context(self) -> Context:
        """Prompt and tokens that the engine has processed for this run."""
        return Context(self.prompt, (*self.prefix, *self.output))

    @property
    def is_active(self) -> bool:
        """Whether the run has a slot or waits for one."""
        return self.state in {'waiting', 'running'}

    def read_token(self, offset: int) -> str:
        """Return the token at an offset of prefix or output."""
        if offset < self.start:
            return self.prefix[offset]
        return self.output[offset - self.start]

    def decode_token(self, stop_offset: int | None) -> None:
        """Generate the next token unless the run is complete; set `end`."""
        if self.offset < self.max_tokens:
            self.output.append(make_token(self.nonce, self.offset))
        if self.offset >= self.max_tokens:
            self.end = LENGTH
        elif stop_offset is not None and self.offset >= stop_offset:
            self.end = STOP


@dataclass(slots=True)
class PrefillTime:
    """Duration of a prefill: a fixed part and one per uncached token."""

    prefill_ms: float
    prefill_ms_per_token: float


class Batch:
    """Runs in slots, and a priority queue of those over capacity."""

    def __init__(
        self, capacity: int, cache: PrefixCache, prefill_time: PrefillTime
    ) -> None:
        self.capacity = capacity
        self.cache = cache
        self.prefill_time = prefill_time
        self.running: list[Run] = []
        self.queue: list[tuple[int, int, Run]] = []
        self.arrival_numbers: Iterator[int] = count()

    @property
    def waiting(self) -> list[Run]:
        """Runs in the queue, in no particular order."""
        return [run for _, _, run in self.queue if run.is_active]

    def submit(self, run: Run, now: float) -> None:
        """Queue a run: greater priority first, then order of arrival."""
        entry = (-run.priority, next(self.arrival_numbers), run)
        heapq.heappush(self.queue, entry)
        self.admit(now)

    def admit(self, now: float) -> None:
        """Fill free slots from the queue."""
        while self.queue and len(self.running) < self.capacity:
            run = heapq.heappop(self.queue)[-1]
            if run.is_active:
                self._start(run, now)

    def step(self, now: float, stop_offset: int | None = None) -> None:
        """Generate a token for each run in a slot whose prefill is over."""
        for run in tuple(self.running):
            if run.prefilled_at <= now:
                run.decode_token(stop_offset)
            if run.end:
                self.remove(run, 'ended', now)

    def remove(self, run: Run, state: str, now: float) -> None:
        """Remove a run from its slot or the queue, with a final state."""
        if run in self.running:
            self.running.remove(run)
            self.cache.store(run.context, now)
        run.state = state
        run.idle_since = now
        self.admit(now)

    def clear(self) -> None:
        """Discard all runs and mark them lost, as when an engine dies."""
        for run in (*self.running, *self.waiting):
            run.state = 'lost'
        self.running.clear()
        self.queue.clear()

    def _start(self, run: Run, now: float) -> None:
        context = run.context
        run.state = 'running'
        run.prefill_tokens = self.cache.count_missing(context)
        prefill_ms = (
            self.prefill_time.prefill_ms
            + self.prefill_time.prefill_ms_per_token * run.prefill_tokens
        )
        run.prefilled_at = now + prefill_ms / 1000
        self.cache.store(context, now)
        self.running.append(run)
