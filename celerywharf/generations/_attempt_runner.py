"""Runs the attempts of one generation at engines."""

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
    from celerywharf.generations._generations import Generations
    from celerywharf.generations._owned_generation import OwnedGeneration


@dataclass(slots=True)
class AttemptRun:
    """An attempt in progress.

    Attributes:
        attempt: its id at the engine.
        backend_server: the engine.
        stream: tokens from the engine.
        grant: admission to the engine, None for a reattached attempt.
        started_s: monotonic time of its start.
        tokens: number of tokens received.
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
        """Resume reading the stream."""
        self.stream.transfer.resume()


class AttemptRunner:
    """Starts, pauses and ends the attempts of one generation.

    Attributes:
        by_number: attempts in progress, by number.
    """

    def __init__(
        self, generations: Generations, owned: OwnedGeneration
    ) -> None:
        self.generations = generations
        self.owned = owned
        self.by_number: dict[int, AttemptRun] = {}

    def perform(self, action: Action) -> None:
        """Carry out an action on attempts."""
        match action:
            case StartAttempt():
                self.generations.spawn(self._start(action))
            case Reattach():
                self._reattach(action)
            case CancelAttempt(number, kind):
                self._cancel(number, kind)
            case PauseAttempt(number) if number in self.by_number:
                self.by_number[number].pause()
            case ResumeAttempt(number) if number in self.by_number:
                self.by_number[number].resume()

    def release(self, number: int, outcome: Outcome) -> None:
        """Remove an attempt and release its grant."""
        run = self.by_number.pop(number, None)
        if run is None:
            return
        self.owned.observations.attempt_released(run, self.generations.now())
        if run.grant is not None:
            self.generations.host.admissions.release(run.grant, outcome)

    async def _start(self, action: StartAttempt) -> None:
        number = action.attempt
        service = self._service()
        admissions = self.generations.host.admissions
        try:
            grant = await admissions.admit(self._demand(action, service))
        except CelerywharfError as error:
            self.owned.process(AttemptRefused(number, error))
            return
        if not self.owned.logic.is_live(number):
            admissions.release(grant, Outcome.cancelled)
            return
        journal = self.owned.journal
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
        engines = self.generations.engines
        stream = engines.generate(backend.url, work, self.owned)
        self._register(
            AttemptRun(
                work.attempt, backend, stream, grant, self.generations.now()
            ),
        )

    def _demand(
        self,
        action: StartAttempt,
        service: Service | None,
    ) -> Demand:
        journal = self.owned.journal
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
        rows = self.generations.host.catalogue.backend_servers
        backend = rows.get(action.backend_server)
        if backend is None:
            self.owned.process(AttemptFailed(number, 'unknown_attempt'))
            return
        generation = self.owned.generation
        old = AttemptId(generation, action.old_epoch, action.old_attempt)
        new = self._attempt(number)
        stream = self.generations.engines.reattach(
            backend.url,
            old,
            new,
            len(self.owned.journal.tokens),
            self.owned,
        )
        self._register(
            AttemptRun(new, backend, stream, None, self.generations.now())
        )

    def _register(self, run: AttemptRun) -> None:
        number = run.attempt.attempt
        name = run.backend_server.name
        self.by_number[number] = run
        self._record('attempt_started', run)
        self.owned.process(AttemptPlaced(number, name))
        self.owned.on_attempt_started()

    def _cancel(self, number: int, kind: str) -> None:
        run = self.by_number.get(number)
        if run is None:
            return
        backend = run.backend_server
        if kind and not run.stream.ended:
            self.owned.observations.attempt_interrupted(number, kind)
        if kind:
            self.generations.host.admissions.report_failure(backend.name, kind)
        run.stream.cancel()
        self._record('attempt_ended', run, kind=kind or 'cancelled')
        self.generations.spawn(
            self.generations.engines.cancel(backend.url, run.attempt)
        )
        self.release(number, Outcome.failed if kind else Outcome.cancelled)
        self.owned.send_placement()

    def _attempt(self, number: int) -> AttemptId:
        journal = self.owned.journal
        return AttemptId(journal.spec.generation, journal.epoch, number)

    def _service(self) -> Service | None:
        services = self.generations.host.catalogue.services
        return services.get(self.owned.journal.spec.service)

    def _record(self, name: str, run: AttemptRun, **details: str) -> None:
        self.generations.record(
            name,
            self.owned.journal,
            attempt=run.attempt.attempt,
            backend_server=run.backend_server.name,
            **details,
        )
