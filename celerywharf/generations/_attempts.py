"""Decides which attempts run and which of their tokens are accepted."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.exceptions import BackendServerError, CelerywharfError
from celerywharf.generations._engine_latencies import (
    EngineLatencies,
    EngineLatency,
)
from celerywharf.generations.journals import Journal
from celerywharf.generations.messages import (
    Action,
    CancelAttempt,
    Fail,
    PauseAttempt,
    ResumeAttempt,
    StartAttempt,
)
from celerywharf.tables import Policy

# How long a backend server that failed is not chosen again.
EXCLUDE_FAILED_S = 5.0
# An attempt that was active this recently needs no check for silence.
STEADY_SILENCE_S = 0.1
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
IMMEDIATE_RETRIES = 3
MAX_CONCURRENT_ATTEMPTS = 2
MAX_DOUBLINGS = 8
LENGTH_REASON = 'length'
SILENT = 'silent'
# Engines whose connections broke before the first token, after which the
# generation fails: its prompt is likely to have crashed them.
MAX_LOST_AT_START = 5
LOST_KINDS = frozenset(('reset', 'truncated'))
# Failure kinds for which the engine is not excluded.
NOT_ENGINE_FAULTS = frozenset(('unknown_attempt',))

Actions = list[Action]


@dataclass(slots=True)
class Attempt:
    """An attempt to generate the rest of the tokens at one engine.

    Attributes:
        number: rises with each attempt of the generation.
        next_offset: offset of the next token expected from the attempt.
        last_activity_s: when it was started, placed or last sent tokens.
        latency: latency of its backend server, None until placed.
        backend_server: name, empty until placed.
        produced: at least one of its tokens was accepted.
    """

    number: int
    next_offset: int
    last_activity_s: float
    latency: EngineLatency | None = None
    backend_server: str = ''
    produced: bool = False


@dataclass(slots=True)
class Retry:
    """Retry state after consecutive failures.

    Attributes:
        give_up_s: when a generation without progress fails.
        failures: number of failures since the last accepted token.
        lost_engines: engines whose connections broke before the first token.
        not_before_s: earliest start of the next attempt.
        error: the last refusal by admission.
        pending: an attempt must be started.
    """

    give_up_s: float
    failures: int = 0
    lost_engines: int = 0
    not_before_s: float = 0
    error: CelerywharfError | None = None
    pending: bool = False

    def backoff_s(self) -> float:
        """Return the seconds to wait before the next attempt."""
        doublings = max(0, self.failures - IMMEDIATE_RETRIES)
        factor = 2 ** min(doublings, MAX_DOUBLINGS)
        return min(FIRST_BACKOFF_S * factor, MAX_BACKOFF_S)


@dataclass(slots=True)
class AttemptLogic:
    """Decides on attempts, without I/O or reading a clock.

    Attributes:
        journal: the generation's journal; accepted tokens are appended.
        policy: what to do when an engine is silent.
        latencies: latencies of all backend servers.
        progress_timeout_s: how long a generation may go without progress.
        retry: state of repeated failures.
        last_number: the highest number assigned.
        live: attempts in progress, by number.
        paused: engines are not read because all callers are slow.
        dropped: number of tokens that were not accepted: repeated,
            misplaced or from an attempt that is not live.
        failed_at: when each backend server last failed.
    """

    journal: Journal
    policy: Policy
    latencies: EngineLatencies
    progress_timeout_s: float
    retry: Retry
    last_number: int
    live: dict[int, Attempt] = field(default_factory=dict)
    paused: bool = False
    dropped: int = 0
    failed_at: dict[str, float] = field(default_factory=dict)

    def start(self, now: float) -> Actions:
        """Start an attempt that continues the journal's tokens."""
        self.retry.pending = False
        attempt = self.register(now)
        return [StartAttempt(attempt.number, self._excluded(now))]

    def register(self, now: float) -> Attempt:
        """Register an attempt under the next number."""
        self.last_number += 1
        next_offset = len(self.journal.tokens)
        attempt = Attempt(self.last_number, next_offset, now)
        self.live[attempt.number] = attempt
        return attempt

    def set_placement(
        self, number: int, backend_server: str, now: float
    ) -> None:
        """Record the backend server of an attempt; ignored if not live."""
        attempt = self.live.get(number)
        if attempt is None:
            return
        attempt.backend_server = backend_server
        attempt.latency = self.latencies.get(backend_server)
        attempt.last_activity_s = now
        self.journal.attempt = number
        self.journal.attempt_epoch = self.journal.epoch
        self.journal.backend_server = backend_server

    def accept_tokens(
        self,
        number: int,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions | None:
        """Append tokens to the journal if they directly continue it.

        Returns:
            None when no token was accepted and nothing needs to be done;
            otherwise further actions.
        """
        attempt = self.live.get(number)
        if attempt is None:
            self.dropped += len(tokens)
            return None
        if offset != attempt.next_offset:
            return self._handle_offset_mismatch(attempt, offset, tokens, now)
        journal = self.journal
        if offset != len(journal.tokens):
            self.dropped += len(tokens)
            return None
        journal.tokens += tokens
        attempt.next_offset = offset + len(tokens)
        gap_s = now - attempt.last_activity_s
        attempt.last_activity_s = now
        if attempt.produced:
            attempt.latency.observe_gap(gap_s)
            return [] if len(self.live) == 1 else self._keep_only(attempt, now)
        return self._first_tokens(attempt, gap_s, now)

    def finish(
        self,
        number: int,
        total: int,
        reason: str,
        now: float,
    ) -> Actions | None:
        """Finish the generation at the end event of an attempt.

        An end event whose token count differs from the journal fails the
        attempt.

        Returns:
            Further actions; None when the attempt is not live.
        """
        attempt = self.live.get(number)
        if attempt is None:
            return None
        if total != len(self.journal.tokens) or total != attempt.next_offset:
            return self.fail(number, 'malformed', now)
        self.live.pop(number)
        self.journal.finish_reason = reason or LENGTH_REASON
        return self.cancel_all()

    def fail(self, number: int, kind: str, now: float) -> Actions:
        """End a failed attempt and start the next unless one is live.

        After several failures in a row the start is delayed.
        """
        attempt = self.live.pop(number, None)
        if attempt is None:
            return []
        if attempt.backend_server and kind not in NOT_ENGINE_FAULTS:
            self.failed_at[attempt.backend_server] = now
        self.retry.failures += 1
        if kind in LOST_KINDS and not self.journal.tokens:
            self.retry.lost_engines += 1
        cancel = CancelAttempt(number, kind)
        if self.retry.lost_engines >= MAX_LOST_AT_START:
            return [cancel, *self.cancel_all(), Fail(_lost_at_start())]
        return [cancel, *self._start_or_wait(now)]

    def refuse(
        self,
        number: int,
        error: CelerywharfError,
        now: float,
    ) -> Actions:
        """Handle a refusal by admission.

        The generation fails at once if no engine has worked on it yet;
        otherwise the next attempt is delayed.
        """
        if self.live.pop(number, None) is None:
            return []
        self.retry.error = error
        if not self.journal.tokens and not self.journal.attempt:
            return [Fail(error)]
        self.retry.failures += 1
        self.retry.pending = not self.live
        backoff_s = min(error.retry_after_s or 0, MAX_BACKOFF_S)
        self.retry.not_before_s = now + max(backoff_s, self.retry.backoff_s())
        return []

    def cancel_all(self) -> Actions:
        """Cancel all attempts without blaming their engines."""
        numbers = tuple(self.live)
        self.live.clear()
        self.retry.pending = False
        return [CancelAttempt(number) for number in numbers]

    def pause(self) -> Actions:
        """Stop reading from the engines."""
        self.paused = True
        return [PauseAttempt(number) for number in self.live]

    def resume(self, now: float) -> Actions:
        """Resume reading from the engines."""
        self.paused = False
        self.reset_silence(now)
        return [ResumeAttempt(number) for number in self.live]

    def reset_silence(self, now: float) -> None:
        """Restart the measurement of silence for all live attempts."""
        for attempt in self.live.values():
            attempt.last_activity_s = now

    def is_steady(self, now: float) -> bool:
        """Return whether the only live attempt was active just now."""
        if len(self.live) != 1 or self.retry.pending:
            return False
        (attempt,) = self.live.values()
        return now - attempt.last_activity_s < STEADY_SILENCE_S

    def tick(self, now: float) -> Actions:
        """Handle silent engines and start attempts that are due."""
        if self.retry.pending:
            if now >= self.retry.give_up_s:
                return [Fail(self._final_error())]
            if now >= self.retry.not_before_s and not self.live:
                return self.start(now)
            return []
        if self.paused:
            return []
        actions: Actions = []
        for attempt in tuple(self.live.values()):
            if attempt.latency is not None:
                actions += self._check_silence(attempt, now)
        return actions

    def _check_silence(self, attempt: Attempt, now: float) -> Actions:
        silent_s = now - attempt.last_activity_s
        if silent_s <= self.latencies.max_silence_s(
            attempt.latency,
            self.policy,
            produced=attempt.produced,
        ):
            return []
        if not attempt.produced:
            attempt.latency.observe_first(silent_s)
        if self.policy is Policy.patient:
            return self.fail(attempt.number, SILENT, now)
        if len(self.live) < MAX_CONCURRENT_ATTEMPTS:
            if now < self.retry.not_before_s:
                return []
            self.failed_at[attempt.backend_server] = now
            return self.start(now)
        if silent_s > self.latencies.max_silence_s(
            attempt.latency,
            Policy.patient,
            produced=attempt.produced,
        ):
            return self.fail(attempt.number, SILENT, now)
        return []

    def _first_tokens(
        self,
        attempt: Attempt,
        waited_s: float,
        now: float,
    ) -> Actions:
        attempt.produced = True
        attempt.latency.observe_first(waited_s)
        return self._keep_only(attempt, now)

    def _keep_only(self, attempt: Attempt, now: float) -> Actions:
        self.retry.failures = 0
        self.retry.give_up_s = now + self.progress_timeout_s
        superseded = [other for other in self.live if other != attempt.number]
        for other in superseded:
            self.live.pop(other)
        journal = self.journal
        journal.attempt = attempt.number
        journal.backend_server = attempt.backend_server
        return [CancelAttempt(number) for number in superseded]

    def _handle_offset_mismatch(
        self,
        attempt: Attempt,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions | None:
        repeated = attempt.next_offset - offset
        self.dropped += len(tokens)
        if not attempt.produced or repeated < 0:
            return self.fail(attempt.number, 'malformed', now)
        if repeated >= len(tokens):
            return None
        self.dropped -= len(tokens) - repeated
        rest = tokens[repeated:]
        return self.accept_tokens(
            attempt.number, attempt.next_offset, rest, now
        )

    def _start_or_wait(self, now: float) -> Actions:
        if self.retry.failures <= IMMEDIATE_RETRIES and not self.live:
            return self.start(now)
        self.retry.pending = not self.live
        self.retry.not_before_s = now + self.retry.backoff_s()
        return []

    def _excluded(self, now: float) -> frozenset[str]:
        in_use = {attempt.backend_server for attempt in self.live.values()}
        failed = {
            name
            for name, failed_s in self.failed_at.items()
            if now - failed_s < EXCLUDE_FAILED_S
        }
        # Admission refused the last attempt, so servers that failed are
        # allowed again: they are better than none.
        if self.retry.error is not None:
            self.retry.error = None
            failed = set()
        return frozenset((in_use | failed) - {''})

    def _final_error(self) -> CelerywharfError:
        return self.retry.error or BackendServerError(
            'no backend server could continue the generation',
        )


def _lost_at_start() -> CelerywharfError:
    return BackendServerError(
        f'{MAX_LOST_AT_START} backend servers were lost as they began it',
    )
