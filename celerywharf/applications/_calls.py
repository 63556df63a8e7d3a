"""Sends calls to backend servers: placement, attempts and verdicts."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import (
    Answer,
    ApplicationClient,
    Call,
)
from celerywharf.admissions import Demand, Grant, Outcome
from celerywharf.applications._ejection import EjectionLogic
from celerywharf.applications._retries import (
    FIRST_SERVER_ERROR_STATUS,
    Answered,
    Deliver,
    Failed,
    GiveUp,
    RetryBudget,
    RetryLogic,
    Send,
    Started,
)
from celerywharf.exceptions import (
    AmbiguousCallError,
    CelerywharfError,
    NoBackendServerError,
)
from celerywharf.structures import Verdict
from celerywharf.tables import BackendServer

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0


class CallSender:
    """Sends calls to backend servers, with retries where they are safe.

    Attributes:
        client: makes single attempts over HTTP.
        retry_budget: retries that this host may still make.
        ejection: backend servers excluded after consecutive failures.
        attempts: number of attempts since the start.
        calls: number of calls since the start.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.client = ApplicationClient(host.transport)
        self.retry_budget = RetryBudget()
        self.generator = random.Random(host.identity.incarnation)
        self.ejection = EjectionLogic()
        self.attempts = 0
        self.calls = 0

    async def run(
        self,
        call: Call,
        *,
        idempotent: bool,
        deadline_s: float,
    ) -> Answer:
        """Send a call, with retries, until it is answered or given up.

        Args:
            call: what to send.
            idempotent: whether it may be sent again after an attempt that
                may have run.
            deadline_s: monotonic time at which the call is given up.

        Raises:
            NoBackendServerError: no backend server accepted the call.
            AmbiguousCallError: the call may have run.
            CelerywharfError: an attempt was not admitted; the verdict says
                whether an earlier one may have run.
        """
        logic = RetryLogic(
            idempotent=idempotent,
            deadline_s=deadline_s,
            budget=self.retry_budget,
            generator=self.generator,
        )
        self.calls += 1
        return await _CallAttempts(self, call, logic).run()


class _CallAttempts:
    """The attempts of one call.

    Attributes:
        tried: names of the backend servers that were sent the call.
        answer: the answer of the last attempt that got one.
    """

    def __init__(
        self, sender: CallSender, call: Call, logic: RetryLogic
    ) -> None:
        self.sender = sender
        self.host = sender.host
        self.call = call
        self.logic = logic
        self.tried: frozenset[str] = frozenset()
        self.answer: Answer | None = None

    async def run(self) -> Answer:
        """Make attempts until the logic delivers an answer or gives up."""
        action = self.logic.decide(Started(), self._now())
        while True:
            match action:
                case Send():
                    outcome = await self._attempt(action)
                    action = self.logic.decide(outcome, self._now())
                case Deliver():
                    return self.answer
                case GiveUp(verdict):
                    raise self._error(verdict)

    async def _attempt(self, send: Send) -> Answered | Failed:
        if send.delay_s:
            await asyncio.sleep(send.delay_s)
        grant = await self._admit()
        backend = grant.backend_server
        self.tried |= {backend.name}
        self.sender.ejection.started(backend.name, self._now())
        admission_outcome = Outcome.failed
        try:
            outcome = await self._send(backend, send.timeout_s)
            admission_outcome = _admission_outcome(outcome)
        finally:
            self.host.admissions.release(grant, admission_outcome)
        self._report_outcome(backend.name, admission_outcome)
        return outcome

    async def _admit(self) -> Grant:
        ejected = self.sender.ejection.ejected(self._now())
        try:
            return await self._request_grant(self.tried | ejected)
        except NoBackendServerError:
            if not ejected - self.tried:
                raise
        # Ejected servers are used when no others are left.
        return await self._request_grant(self.tried)

    async def _request_grant(self, exclude: frozenset[str]) -> Grant:
        demand = Demand(
            service=self.call.service,
            client_account=self.call.client_account,
            deadline_s=self._remaining_s(),
            exclude=exclude,
        )
        try:
            return await self.host.admissions.admit(demand)
        except CelerywharfError as error:
            error.verdict = self.logic.verdict
            raise

    def _report_outcome(self, backend: str, admission_outcome: Outcome) -> None:
        failed = admission_outcome is Outcome.failed
        self.sender.ejection.ended(backend, failed=failed, now=self._now())
        if failed:
            self.host.admissions.report_failure(backend, 'call_failed')

    async def _send(
        self, backend: BackendServer, timeout_s: float
    ) -> Answered | Failed:
        self.sender.attempts += 1
        self._record('call_sent', backend.name)
        try:
            self.answer = await self.sender.client.send(
                backend.url,
                self.call,
                timeout_s=min(timeout_s, self._remaining_s()),
                forbid_resend=not self.logic.idempotent,
            )
        except CelerywharfError as error:
            self._record('call_failed', backend.name, error.verdict.value)
            return Failed(error.verdict)
        self._record('call_answered', backend.name, Verdict.ran.value)
        return Answered(self.answer.status)

    def _record(self, event: str, backend: str, verdict: str = '') -> None:
        self.host.recorder.record(
            event,
            request=self.call.request_id,
            backend_server=backend,
            verdict=verdict,
        )
        if verdict:
            logger.info(
                event.replace('_', ' '),
                extra={
                    'request_id': self.call.request_id,
                    'client_account': self.call.client_account,
                    'service': self.call.service,
                    'backend_server': backend,
                    'attempt': len(self.tried),
                    'verdict': verdict,
                },
            )

    def _error(self, verdict: Verdict) -> CelerywharfError:
        if verdict is Verdict.not_run:
            return NoBackendServerError(
                f'no backend server of {self.call.service} accepted the call',
                retry_after_s=RETRY_AFTER_S,
            )
        return AmbiguousCallError(
            'the call was sent and its answer was lost',
        )

    def _remaining_s(self) -> float:
        return max(0, self.logic.deadline_s - self._now())

    def _now(self) -> float:
        return self.host.timers.now()


def _admission_outcome(outcome: Answered | Failed) -> Outcome:
    if isinstance(outcome, Failed):
        return Outcome.failed
    if outcome.status >= FIRST_SERVER_ERROR_STATUS:
        return Outcome.failed
    return Outcome.finished
