"""Where a stream and the copy of its run are put."""

from __future__ import annotations

import functools
from dataclasses import replace

from celerywharf.backends import BackendServer, Demand
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Lost, Outcome
from celerywharf.forwarding._relays import Progress
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.platform import Resumption

CANDIDATES = 2  # engines asked for their load before a stream is placed
BACKUP_CANDIDATES = 1  # the same for the place of its copy


class StreamPlacing:
    """Places the sends of one stream.

    Attributes:
        demand: what the stream needs of an engine.
        failed: names of engines that failed this stream.
        copy_at: the engine that may hold a copy of the run.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        progress: Progress,
    ) -> None:
        self.context = context
        self.service = service
        self.progress = progress
        configuration = context.configuration_cache.configuration
        known = configuration.services.get(service)
        self.memory = known and known.memory
        headers = request.headers
        self.demand = Demand(
            service,
            headers.prompt_tokens + headers.output_tokens,
            self.memory.capacity_tokens if self.memory else 0,
        )
        self.failed: set[str] = set()
        self.copy_at: BackendServer | None = None

    async def place(self) -> tuple[BackendServer | None, Resumption]:
        """Return an engine and where the stream goes on there."""
        last_event = self.progress.last_event
        copy = self.copy_at
        self.copy_at = None
        if copy is not None and copy.name not in self.failed:
            return copy, Resumption(last_event, copy.address)
        server = await self.context.reports.best(self._ranked, CANDIDATES)
        return server, Resumption(last_event)

    async def backup(
        self,
        server: BackendServer,
        resumption: Resumption,
    ) -> BackendServer | None:
        """Return where the engine shall keep a copy of the run."""
        if self.memory is None or not self.memory.backups:
            return None
        if resumption.copy_at is not None:
            # The caller waits for the next event; reports take too long.
            return next(iter(self._backups(server)), None)
        return await self.context.reports.best(
            functools.partial(self._backups, server),
            BACKUP_CANDIDATES,
        )

    def take(self, server: BackendServer) -> None:
        """Count the stream at an engine, before it is sent."""
        now_s = self.context.timers.now()
        self.context.loads.started(server.name, self.demand.tokens, now_s)
        self.context.health.started(server)

    def release(self, server: BackendServer, *, prefilled: bool) -> None:
        """Count the stream there no more."""
        tokens = self.demand.tokens
        if tokens and not prefilled:
            self.context.loads.prefilled(server.name)
        self.context.loads.ended(server.name, tokens)
        self.context.health.ended(server)

    def note(
        self,
        server: BackendServer,
        outcome: Outcome,
        resumption: Resumption,
        backup: BackendServer | None,
    ) -> None:
        """Remember who failed and where a copy of the run may be."""
        if isinstance(outcome, Lost):
            self.failed.add(server.name)
            # Engines copy a run from its first event on.
            self.copy_at = backup if self.progress.events else None
        elif resumption.copy_at is None:
            self.failed.add(server.name)

    def _ranked(self) -> list[BackendServer]:
        now_s = self.context.timers.now()
        return self.context.placement.ranked(self._open_demand(), now_s)

    def _backups(self, server: BackendServer) -> list[BackendServer]:
        now_s = self.context.timers.now()
        return self.context.placement.backups(
            server,
            self._open_demand(),
            now_s,
        )

    def _open_demand(self) -> Demand:
        return replace(self.demand, excluded=self.failed)
