"""When a failed attempt of a call is followed by another."""

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
MINIMAL_ATTEMPT_S = 0.05


@dataclass(frozen=True, slots=True)
class Started:
    """The call came in."""


@dataclass(frozen=True, slots=True)
class Answered:
    """An attempt brought an answer with this HTTP status."""

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt brought no answer."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Send:
    """Make an attempt after a delay, on a server not tried before.

    Attributes:
        delay_s: seconds to wait first.
        timeout_s: seconds the attempt may take.
    """

    delay_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller the answer of the last attempt."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the caller an error with this verdict, at once."""

    verdict: Verdict


Message = Started | Answered | Failed
Action = Send | Deliver | GiveUp


class RetryBudget:
    """Retries of one host: a share of its requests, and a small reserve.

    Each request adds ``ratio`` of a retry; each retry takes one.  In a storm
    attempts so stay below ``1 + ratio`` per request in the long run.
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
        """Count a request."""
        self.balance = min(self.limit, self.balance + self.ratio)

    def take(self) -> bool:
        """Take one retry if there is one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryLogic:
    """Decides over the attempts of one call.

    A non-idempotent call goes on only while every attempt so far is certain
    not to have run.
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
        """Return what to do next; ``now`` counts as ``deadline_s`` does."""
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
        again = self._again(now)
        return Deliver() if again is None else again

    def _failed(self, verdict: Verdict, now: float) -> Action:
        if verdict is not Verdict.not_run:
            self.verdict = Verdict.may_have_run
            if not self.idempotent:
                return GiveUp(self.verdict)
        again = self._again(now)
        return GiveUp(self.verdict) if again is None else again

    def _again(self, now: float) -> Send | None:
        if self.attempts >= ATTEMPT_LIMIT:
            return None
        delay_s = self._delay_s()
        if now + delay_s + MINIMAL_ATTEMPT_S > self.deadline_s:
            return None
        if not self.budget.take():
            return None
        return self._send(delay_s, now)

    def _delay_s(self) -> float:
        ceiling = BACKOFF_BASE_S * 2 ** (self.attempts - 1)
        return self.generator.uniform(0, min(BACKOFF_LIMIT_S, ceiling))

    def _send(self, delay_s: float, now: float) -> Send:
        self.attempts += 1
        left_s = max(0, self.deadline_s - now - delay_s)
        if self.idempotent and self.attempts < ATTEMPT_LIMIT:
            left_s = max(MINIMAL_ATTEMPT_S, left_s / 2)
        return Send(delay_s, left_s)
