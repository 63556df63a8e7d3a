"""Whether a request is sent once more, and what the caller is told."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.adapters.transports import HttpResponse
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
    Refused,
)
from celerywharf.platform import AnswerHeaders
from celerywharf.routing import (
    Idempotent,
    NonIdempotent,
    Policy,
    ResumableStream,
    SingleStream,
)

# A refusal costs no engine time, so it does not use up an attempt; the bound
# keeps a full service from being asked over and over.
MOST_REFUSALS = 3
LEAST_TIME_FOR_RETRY_S = 0.05  # the shortest calls take about this long


@dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the request to another backend server."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Give the caller the backend server's own answer."""

    response: HttpResponse
    headers: AnswerHeaders

    @property
    def status(self) -> int:
        """Return the status that the caller gets."""
        return self.response.status


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the caller an error of ours.

    Attributes:
        status: 503 promises that the request did not run.
        reason: for the log and the caller.
    """

    status: HTTPStatus
    reason: str


@dataclass(frozen=True, slots=True)
class Done:
    """The caller has everything."""

    status = HTTPStatus.OK


Step = SendAgain | PassOn | Fail | Done


class RetryPlan:
    """Follows the sends of one request.

    Attributes:
        sends: sends that may have run.
        refusals: sends that a backend server refused.
        maybe_ran: some send may have run, so no status may promise otherwise.
        answer: a backend server's own answer to the last send.
    """

    def __init__(self, policy: Policy, max_attempts: int) -> None:
        self.policy = policy
        self.max_attempts = max_attempts
        self.sends = 0
        self.refusals = 0
        self.maybe_ran = False
        self.answer: PassOn | None = None

    def after(self, outcome: Outcome, remaining_s: float) -> Step:
        """Return what follows an outcome.

        Args:
            outcome: of the last send.
            remaining_s: what is left of the time for this request.
        """
        step = self._after(outcome, remaining_s)
        if remaining_s <= 0 and isinstance(step, Fail):
            return self.timed_out()
        return step

    @property
    def arrivals(self) -> int:
        """Return how many sends reached a backend server."""
        return self.sends + self.refusals

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        match self.policy:
            case Idempotent() | ResumableStream():
                return True
            case NonIdempotent() | SingleStream():
                return False

    @property
    def has_alternative(self) -> bool:
        """Tell whether a send under way could be followed by another."""
        return self.repeatable and self.sends + 1 < self.max_attempts

    def given_up(self, reason: str) -> PassOn | Fail:
        """Return the end when the request is not sent again.

        A backend server's own failure is passed on rather than replaced.
        """
        return self.answer or self.unserved(reason)

    def unserved(self, reason: str) -> Fail:
        """Return the error when no backend server may get the request."""
        if self.maybe_ran:
            return Fail(HTTPStatus.BAD_GATEWAY, reason)
        return Fail(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def timed_out(self) -> Fail:
        """Return the error when the time for the request is over."""
        return Fail(HTTPStatus.GATEWAY_TIMEOUT, 'time is over')

    def _after(self, outcome: Outcome, remaining_s: float) -> Step:
        match outcome:
            case Finished():
                return Done()
            case Refused():
                self.refusals += 1 if outcome.reached else 0
                return self._after_refusal(outcome, remaining_s)
            case Answered():
                return self._after_answer(outcome, remaining_s)
            case Lost():
                self.sends += 1
                self.maybe_ran = True
                self.answer = None
                if self.repeatable and self._may_send(remaining_s):
                    return SendAgain()
                return Fail(HTTPStatus.BAD_GATEWAY, outcome.reason)

    def _after_refusal(self, outcome: Refused, remaining_s: float) -> Step:
        if self.refusals <= MOST_REFUSALS and self._may_send(remaining_s):
            return SendAgain()
        return self.unserved(outcome.reason)

    def _after_answer(self, outcome: Answered, remaining_s: float) -> Step:
        self.sends += 1
        self.maybe_ran = True
        self.answer = PassOn(outcome.response, outcome.headers)
        failed = outcome.response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and self.repeatable and self._may_send(remaining_s):
            return SendAgain()
        return self.answer

    def _may_send(self, remaining_s: float) -> bool:
        return (
            self.sends < self.max_attempts
            and remaining_s > LEAST_TIME_FOR_RETRY_S
        )
