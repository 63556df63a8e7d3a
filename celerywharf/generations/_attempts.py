"""Which engine runs work on a generation, and which tokens count."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.exceptions import BackendServerError, CelerywharfError
from celerywharf.generations._paces import Pace, Paces
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

EXCLUDE_S = 5.0
CALM_S = 0.1
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
IMMEDIATE_RETRIES = 3
LARGEST_RACE = 2
LARGEST_DOUBLINGS = 8
LENGTH_REASON = 'length'
SILENT = 'silent'
BLAMELESS = frozenset(('unknown_attempt',))

Actions = list[Action]


@dataclass(slots=True)
class Attempt:
    """One engine's run.

    Attributes:
        number: rises with each attempt of the generation.
        following: offset of the token that must come next from it.
        heard_s: when it was started or last brought something.
        pace: history of its backend server, None until placed.
        backend_server: name, empty until placed.
        produced: it brought a token that counted.
    """

    number: int
    following: int
    heard_s: float
    pace: Pace | None = None
    backend_server: str = ''
    produced: bool = False


@dataclass(slots=True)
class Retry:
    """When the next attempt may start after failures in a row.

    Attributes:
        failures: number since the last token.
        not_before_s: earliest start.
        give_up_s: when a generation without progress is given up.
        error: the last refusal.
        wanted: an attempt is to be started.
    """

    give_up_s: float
    failures: int = 0
    not_before_s: float = 0
    error: CelerywharfError | None = None
    wanted: bool = False

    def backoff_s(self) -> float:
        """Return the seconds to wait after so many failures."""
        doublings = max(0, self.failures - IMMEDIATE_RETRIES)
        factor = 2 ** min(doublings, LARGEST_DOUBLINGS)
        return min(FIRST_BACKOFF_S * factor, LONGEST_BACKOFF_S)


@dataclass(slots=True)
class AttemptLogic:
    """Decides on attempts; knows no socket and no clock.

    Attributes:
        journal: the generation's journal; accepted tokens are put into it.
        policy: what to do when an engine falls silent.
        paces: histories of all backend servers.
        patience_s: how long a generation may go without progress.
        retry: state of repeated failures.
        live: attempts under way by number.
        last_number: the highest number given.
        paused: engines are not read because all callers are slow.
        dropped: tokens that came for no live attempt or twice.
        failed_at: when each backend server failed.
    """

    journal: Journal
    policy: Policy
    paces: Paces
    patience_s: float
    retry: Retry
    last_number: int
    live: dict[int, Attempt] = field(default_factory=dict)
    paused: bool = False
    dropped: int = 0
    failed_at: dict[str, float] = field(default_factory=dict)

    def start(self, now: float) -> Actions:
        """Start the next attempt from the journal's tokens."""
        self.retry.wanted = False
        attempt = self.register(now)
        return [StartAttempt(attempt.number, self._excluded(now))]

    def register(self, now: float) -> Attempt:
        """Give the next number to an attempt."""
        self.last_number += 1
        following = len(self.journal.tokens)
        attempt = Attempt(self.last_number, following, now)
        self.live[attempt.number] = attempt
        return attempt

    def place(self, number: int, backend_server: str, now: float) -> None:
        """Note where an attempt runs."""
        attempt = self.live.get(number)
        if attempt is None:
            return
        attempt.backend_server = backend_server
        attempt.pace = self.paces.of(backend_server)
        attempt.heard_s = now
        self.journal.attempt = number
        self.journal.attempt_epoch = self.journal.epoch
        self.journal.backend_server = backend_server

    def take(
        self,
        number: int,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions | None:
        """Put tokens into the journal if they are the very next ones.

        Returns:
            None when the tokens did not count; otherwise what else to do.
        """
        attempt = self.live.get(number)
        if attempt is None:
            self.dropped += len(tokens)
            return None
        if offset != attempt.following:
            return self._take_misplaced(attempt, offset, tokens, now)
        journal = self.journal
        if offset != len(journal.tokens):
            self.dropped += len(tokens)
            return None
        journal.tokens += tokens
        attempt.following = offset + len(tokens)
        gap_s = now - attempt.heard_s
        attempt.heard_s = now
        if attempt.produced:
            attempt.pace.observe_gap(gap_s)
            return [] if len(self.live) == 1 else self._win(attempt, now)
        return self._first_tokens(attempt, gap_s, now)

    def finish(
        self,
        number: int,
        total: int,
        reason: str,
        now: float,
    ) -> Actions | None:
        """Take the end of an attempt; None when it did not count."""
        attempt = self.live.get(number)
        if attempt is None:
            return None
        if total != len(self.journal.tokens) or total != attempt.following:
            return self.fail(number, 'malformed', now)
        self.live.pop(number)
        self.journal.finish_reason = reason or LENGTH_REASON
        return self.cancel_all()

    def fail(self, number: int, kind: str, now: float) -> Actions:
        """End an attempt and start the next, unless another one lives."""
        attempt = self.live.pop(number, None)
        if attempt is None:
            return []
        if attempt.backend_server and kind not in BLAMELESS:
            self.failed_at[attempt.backend_server] = now
        self.retry.failures += 1
        return [CancelAttempt(number, kind), *self._start_or_wait(now)]

    def refuse(
        self,
        number: int,
        error: CelerywharfError,
        now: float,
    ) -> Actions:
        """Judge a refusal by admission: at once final for new work."""
        if self.live.pop(number, None) is None:
            return []
        self.retry.error = error
        if not self.journal.tokens and not self.journal.attempt:
            return [Fail(error)]
        self.retry.failures += 1
        self.retry.wanted = not self.live
        backoff_s = min(error.retry_after_s or 0, LONGEST_BACKOFF_S)
        self.retry.not_before_s = now + max(backoff_s, self.retry.backoff_s())
        return []

    def cancel_all(self) -> Actions:
        """End all attempts, none of them at fault."""
        numbers = tuple(self.live)
        self.live.clear()
        self.retry.wanted = False
        return [CancelAttempt(number) for number in numbers]

    def pause(self) -> Actions:
        """Stop reading from the engines."""
        self.paused = True
        return [PauseAttempt(number) for number in self.live]

    def resume(self, now: float) -> Actions:
        """Read from the engines again."""
        self.paused = False
        self.forgive(now)
        return [ResumeAttempt(number) for number in self.live]

    def forgive(self, now: float) -> None:
        """Begin counting silence anew."""
        for attempt in self.live.values():
            attempt.heard_s = now

    def calm(self, now: float) -> bool:
        """Say whether the only engine at work was heard just now."""
        if len(self.live) != 1 or self.retry.wanted:
            return False
        (attempt,) = self.live.values()
        return now - attempt.heard_s < CALM_S

    def tick(self, now: float) -> Actions:
        """Look for silent engines and overdue starts."""
        if self.retry.wanted:
            if now >= self.retry.give_up_s:
                return [Fail(self._hopeless())]
            if now >= self.retry.not_before_s and not self.live:
                return self.start(now)
            return []
        if self.paused:
            return []
        actions: Actions = []
        for attempt in tuple(self.live.values()):
            if attempt.pace is not None:
                actions += self._judge_silence(attempt, now)
        return actions

    def _judge_silence(self, attempt: Attempt, now: float) -> Actions:
        silent_s = now - attempt.heard_s
        if silent_s <= self.paces.allowed(
            attempt.pace,
            self.policy,
            produced=attempt.produced,
        ):
            return []
        if not attempt.produced:
            attempt.pace.observe_first(silent_s)
        if self.policy is Policy.patient:
            return self.fail(attempt.number, SILENT, now)
        if len(self.live) < LARGEST_RACE:
            if now < self.retry.not_before_s:
                return []
            self.failed_at[attempt.backend_server] = now
            return self.start(now)
        if silent_s > self.paces.allowed(
            attempt.pace,
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
        attempt.pace.observe_first(waited_s)
        return self._win(attempt, now)

    def _win(self, attempt: Attempt, now: float) -> Actions:
        self.retry.failures = 0
        self.retry.give_up_s = now + self.patience_s
        losers = [other for other in self.live if other != attempt.number]
        for loser in losers:
            self.live.pop(loser)
        journal = self.journal
        journal.attempt = attempt.number
        journal.backend_server = attempt.backend_server
        return [CancelAttempt(lost) for lost in losers]

    def _take_misplaced(
        self,
        attempt: Attempt,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions | None:
        repeated = attempt.following - offset
        self.dropped += len(tokens)
        if not attempt.produced or repeated < 0:
            return self.fail(attempt.number, 'malformed', now)
        if repeated >= len(tokens):
            return None
        self.dropped -= len(tokens) - repeated
        rest = tokens[repeated:]
        return self.take(attempt.number, attempt.following, rest, now)

    def _start_or_wait(self, now: float) -> Actions:
        if self.retry.failures <= IMMEDIATE_RETRIES and not self.live:
            return self.start(now)
        self.retry.wanted = not self.live
        self.retry.not_before_s = now + self.retry.backoff_s()
        return []

    def _excluded(self, now: float) -> frozenset[str]:
        racing = {one.backend_server for one in self.live.values()}
        failed = {
            name
            for name, failed_s in self.failed_at.items()
            if now - failed_s < EXCLUDE_S
        }
        # When admission has nothing left, a failed one is better than none.
        if self.retry.error is not None:
            self.retry.error = None
            failed = set()
        return frozenset((racing | failed) - {''})

    def _hopeless(self) -> CelerywharfError:
        return self.retry.error or BackendServerError(
            'no backend server could continue the generation',
        )
