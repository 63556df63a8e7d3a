"""Decides whether a failed attempt of a call is retried."""

from __future__ import annotations

import random
from dataclasses import dataclass

from celerywharf.structures import Verdict

ATTEMPT_LIMIT = 5
BUDGET_RATIO = 0.15
BUDGET_LIMIT = 20.0
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5
FIRST_SERVER_ERROR_STATUS = 500
MIN_ATTEMPT_S = 0.05


@dataclass(frozen=True, slots=True)
class Started:
    """The call was received."""


@dataclass(frozen=True, slots=True)
class Answered:
    """An attempt was answered.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt failed without an answer."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Send:
    """Make an attempt on a backend server that was not tried before.

    Attributes:
        delay_s: seconds to wait before the attempt.
        timeout_s: seconds the attempt may take.
    """

    delay_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Return the answer of the last attempt to the caller."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return an error with this verdict to the caller, without delay."""

    verdict: Verdict


Message = Started | Answered | Failed
Action = Send | Deliver | GiveUp


class RetryBudget:
    """Limits the retries of one host to a ratio of its requests.

    Each request adds ``ratio`` to the balance, up to ``limit``; each retry
    takes 1 from it.  Even if every attempt fails, there are at most
    ``1 + ratio`` attempts per request, besides ``limit`` retries at first.
    """

    def __init__(
        self,
        ratio: float = BUDGET_RATIO,
        limit: float = BUDGET_LIMIT,
    ) -> None:
        self.ratio = ratio
        self.limit = limit
        self.balance = limit

    def deposit(self) -> None:
        """Add the share of one request to the balance."""
        self.balance = min(self.limit, self.balance + self.ratio)

    def withdraw(self) -> bool:
        """Return whether a retry is allowed, and take it from the balance."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryLogic:
    """Decides on the attempts of one call.

    A non-idempotent call is retried only while every attempt so far is
    certain not to have run.

    Attributes:
        attempts: number of attempts decided on so far.
        verdict: whether any attempt so far may have run.
    """

    def __init__(
        self,
        *,
        idempotent: bool,
        deadline_s: float,
        budget: RetryBudget,
        generator: random.Random,
    ) -> None:
        self.idempotent = idempotent
        self.deadline_s = deadline_s
        self.budget = budget
        self.generator = generator
        self.attempts = 0
        self.verdict = Verdict.not_run

    def decide(self, message: Message, now: float) -> Action:
        """Return what to do next.

        Args:
            message: what happened.
            now: time on the same clock as ``deadline_s``.
        """
        match message:
            case Started():
                self.budget.deposit()
                return self._send(0, now)
            case Answered(status):
                return self._answered(status, now)
            case Failed(verdict):
                return self._failed(verdict, now)

    def _answered(self, status: int, now: float) -> Action:
        if not self.idempotent or status < FIRST_SERVER_ERROR_STATUS:
            return Deliver()
        self.verdict = Verdict.may_have_run
        retry = self._retry(now)
        return Deliver() if retry is None else retry

    def _failed(self, verdict: Verdict, now: float) -> Action:
        if verdict is not Verdict.not_run:
            self.verdict = Verdict.may_have_run
            if not self.idempotent:
                return GiveUp(self.verdict)
        retry = self._retry(now)
        return GiveUp(self.verdict) if retry is None else retry

    def _retry(self, now: float) -> Send | None:
        if self.attempts >= ATTEMPT_LIMIT:
            return None
        delay_s = self._delay_s()
        if now + delay_s + MIN_ATTEMPT_S > self.deadline_s:
            return None
        if not self.budget.withdraw():
            return None
        return self._send(delay_s, now)

    def _delay_s(self) -> float:
        ceiling = BACKOFF_BASE_S * 2 ** (self.attempts - 1)
        return self.generator.uniform(0, min(BACKOFF_LIMIT_S, ceiling))

    def _send(self, delay_s: float, now: float) -> Send:
        self.attempts += 1
        timeout_s = max(0, self.deadline_s - now - delay_s)
        if self.idempotent and self.attempts < ATTEMPT_LIMIT:
            # Leaves time for another attempt.
            timeout_s = max(MIN_ATTEMPT_S, timeout_s / 2)
        return Send(delay_s, timeout_s)
