"""The attempts of one generation: streams from engines and their grants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.adapters.engines import AttemptId, EngineStream, EngineWork
from celerywharf.admissions import Demand, Grant, Outcome
from celerywharf.exceptions import CelerywharfError
from celerywharf.generations.messages import (
    Action,
    AttemptFailed,
    AttemptPlaced,
    AttemptRefused,
    CancelAttempt,
    PauseAttempt,
    Reattach,
    ResumeAttempt,
    StartAttempt,
)
from celerywharf.tables import BackendServer, Service
from celerywharf.utils import prefix_hash

if TYPE_CHECKING:
    from celerywharf.generations._part import Generations
    from celerywharf.generations._running import Running


@dataclass(slots=True)
class Run:
    """An attempt's stream and what it occupies.

    Attributes:
        started_s: monotonic time of its start.
        tokens: tokens received.
    """

    attempt: AttemptId
    backend_server: BackendServer
    stream: EngineStream
    grant: Grant | None
    started_s: float
    tokens: int = 0

    def pause(self) -> None:
        """Stop reading the stream."""
        self.stream.transfer.pause()

    def resume(self) -> None:
        """Read the stream again."""
        self.stream.transfer.resume()


class Runs:
    """Starts and ends attempts as decided.

    Attributes:
        by_number: attempts under way.
    """

    def __init__(self, part: Generations, running: Running) -> None:
        self.part = part
        self.running = running
        self.by_number: dict[int, Run] = {}

    def perform(self, action: Action) -> None:
        """Carry an action on attempts out."""
        match action:
            case StartAttempt():
                self.part.spawn(self._start(action))
            case Reattach():
                self._reattach(action)
            case CancelAttempt(number, kind):
                self._cancel(number, kind)
            case PauseAttempt(number) if number in self.by_number:
                self.by_number[number].pause()
            case ResumeAttempt(number) if number in self.by_number:
                self.by_number[number].resume()

    def release(self, number: int, outcome: Outcome) -> None:
        """Forget an attempt and give its grant back."""
        run = self.by_number.pop(number, None)
        if run is None:
            return
        self.running.observations.released(run, self.part.now())
        if run.grant is not None:
            self.part.host.admissions.release(run.grant, outcome)

    async def _start(self, action: StartAttempt) -> None:
        number = action.attempt
        service = self._service()
        admissions = self.part.host.admissions
        try:
            grant = await admissions.admit(self._demand(action, service))
        except CelerywharfError as error:
            self.running.hear(AttemptRefused(number, error))
            return
        if not self.running.logic.awaits(number):
            admissions.release(grant, Outcome.cancelled)
            return
        journal = self.running.journal
        work = EngineWork(
            self._attempt(number),
            service.model if service else '',
            journal.spec.prompt,
            list(journal.tokens),
            journal.spec.max_tokens,
            journal.spec.seed,
            grant.priority,
            journal.spec.client_account,
        )
        backend = grant.backend_server
        engines = self.part.engines
        stream = engines.generate(backend.url, work, self.running)
        self._started(
            Run(work.attempt, backend, stream, grant, self.part.now()),
        )

    def _demand(
        self,
        action: StartAttempt,
        service: Service | None,
    ) -> Demand:
        journal = self.running.journal
        return Demand(
            service=journal.spec.service,
            client_account=journal.spec.client_account,
            prefix_hash=prefix_hash(journal.spec.prompt),
            deadline_s=service.deadline_s if service else 0,
            exclude=action.exclude,
            resume=bool(journal.tokens) or action.attempt > 1,
        )

    def _reattach(self, action: Reattach) -> None:
        number = action.attempt
        rows = self.part.host.catalogue.backend_servers
        backend = rows.get(action.backend_server)
        if backend is None:
            self.running.hear(AttemptFailed(number, 'unknown_attempt'))
            return
        generation = self.running.generation
        old = AttemptId(generation, action.old_epoch, action.old_attempt)
        new = self._attempt(number)
        stream = self.part.engines.reattach(
            backend.url,
            old,
            new,
            len(self.running.journal.tokens),
            self.running,
        )
        self._started(Run(new, backend, stream, None, self.part.now()))

    def _started(self, run: Run) -> None:
        number = run.attempt.attempt
        name = run.backend_server.name
        self.by_number[number] = run
        self._record('attempt_started', run)
        self.running.hear(AttemptPlaced(number, name))
        self.running.started()

    def _cancel(self, number: int, kind: str) -> None:
        run = self.by_number.get(number)
        if run is None:
            return
        backend = run.backend_server
        if kind and not run.stream.ended:
            self.running.observations.interrupted(number, kind)
        if kind:
            self.part.host.admissions.report_failure(backend.name, kind)
        run.stream.cancel()
        self._record('attempt_ended', run, kind=kind or 'cancelled')
        self.part.spawn(self.part.engines.cancel(backend.url, run.attempt))
        self.release(number, Outcome.failed if kind else Outcome.cancelled)
        self.running.tell_placement()

    def _attempt(self, number: int) -> AttemptId:
        journal = self.running.journal
        return AttemptId(journal.spec.generation, journal.epoch, number)

    def _service(self) -> Service | None:
        services = self.part.host.catalogue.services
        return services.get(self.running.journal.spec.service)

    def _record(self, name: str, run: Run, **details: str) -> None:
        self.part.record(
            name,
            self.running.journal,
            attempt=run.attempt.attempt,
            backend_server=run.backend_server.name,
            **details,
        )
