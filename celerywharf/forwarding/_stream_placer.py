"""Placement of a stream and of the backup copy of its run."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from dataclasses import replace

from celerywharf.backends import BackendServer, Demand, Loads
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Lost, Outcome, Refused
from celerywharf.forwarding._relays import Progress
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._rooms import RoomSearch
from celerywharf.forwarding._stream_sends import RESUMED
from celerywharf.platform import Resumption
from celerywharf.rollouts import ANY_VERSION, Choice
from celerywharf.structures import Address

STREAM_CANDIDATES = 2  # engines probed for their load at a time
BACKUP_CANDIDATES = 1  # the same for the backup copy
MAX_LIMITED = 8  # engines at their limits that are passed over for one send
# An engine that has answered this recently is not silent.
ANSWERED_LATELY_S = 0.25

EligibilityCheck = Callable[[BackendServer], Awaitable[bool]]
RoomCheck = Callable[[Loads, BackendServer, Demand, float], bool]


class StreamPlacer:
    """Chooses engines for the sends of one stream.

    Attributes:
        service: name of the service.
        progress: what the caller has of the stream.
        memory: token memory of the service's engines; None if the service is
            unknown or has none.
        demand: what the stream needs from an engine.
        failed_names: names of engines that failed or refused this stream.
        unreached_names: names of those among them that no connection reached.
        lost_zones: zones whose engines this stream has lost or found silent.
        limited_names: names of engines at their limits, for the current send.
        silent_name: name of the engine whose send is silent and kept; empty if
            there is none.
        room: looks for an engine with room.
        choice: software versions that the latest engine was chosen from.
        has_unused_choice: nothing has been sent by that choice yet.
        copy_holder: engine that may hold a copy of the run; None if there is
            none or it has been tried.
        needs_room: tells whether an engine has room; None if the stream is
            sent even if none has.
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
        service_configuration = configuration.services.get(service)
        self.memory = service_configuration and service_configuration.memory
        headers = request.headers
        self.demand = Demand(
            service,
            headers.prompt_tokens + headers.output_tokens,
            self.memory.capacity_tokens if self.memory else 0,
        )
        self.room = RoomSearch(context.leases, self.demand.tokens, self.memory)
        self.failed_names: set[str] = set()
        self.unreached_names: set[str] = set()
        self.lost_zones: set[str] = set()
        self.limited_names: set[str] = set()
        self.silent_name = ''
        self.choice = ANY_VERSION
        self.has_unused_choice = False
        self.copy_holder: BackendServer | None = None
        self.needs_room: RoomCheck | None = None

    @property
    def lacks_room(self) -> bool:
        """Return whether engines are usable, but none has room now."""
        return self.room.lacks_room

    @property
    def is_restricted(self) -> bool:
        """Return whether other streams may go to engines that this may not."""
        version = self.progress.software_version
        return bool(self.failed_names) or version is not None

    def require_room(self, has_room: RoomCheck | None) -> None:
        """Set whether the stream is sent only to an engine with room.

        Args:
            has_room: estimates whether an engine has room; None if the stream
                is sent even if none has.
        """
        self.needs_room = has_room
        self.room.may_wait = has_room is not None

    async def place(
        self, is_eligible: EligibilityCheck
    ) -> tuple[BackendServer | None, Resumption]:
        """Choose an engine for the next send.

        Args:
            is_eligible: returns whether the request may be sent to an engine
                now.

        Returns:
            The engine, None if there is none, and the position from which it
            must resume the stream.
        """
        last_event = self.progress.last_event
        copy_holder = self.copy_holder
        self.copy_holder = None
        self.give_back_choice()
        self.choice = self._choose_versions()
        self.has_unused_choice = self.progress.software_version is None
        if (
            copy_holder is not None
            and copy_holder.name not in self.failed_names
            and copy_holder.software_version not in self.choice.excluded
            and await is_eligible(copy_holder)
        ):
            return copy_holder, Resumption(last_event, copy_holder.address)
        server = await self._find_engine(is_eligible)
        while server is None and self.has_unused_choice:
            choice = self.context.rollouts.choose_again(self.choice)
            if choice is None:
                self.has_unused_choice = False
                break
            self.choice = choice
            self.room.begin()
            server = await self._find_engine(is_eligible)
        if server is None and self.progress.events:
            server = await self._find_unreached(is_eligible)
        return server, Resumption(last_event)

    def give_back_choice(self) -> None:
        """Give back the version that was chosen for a send that is not made."""
        if self.has_unused_choice:
            self.has_unused_choice = False
            self.context.rollouts.choose_again(self.choice)

    async def has_answered_lately(self, server: BackendServer) -> bool:
        """Return whether an engine has just answered; ask it if not.

        An engine with a limit is not asked, which would use up a request.
        """
        now_s = self.context.timers.now()
        alive_at_s = self.context.loads.alive_at_s(server.name)
        if now_s - alive_at_s <= ANSWERED_LATELY_S:
            return True
        if self.context.limits.is_limited(server.incarnation):
            return True
        return await self.context.reports.probe(server) is not None

    def find_copy(self, address: Address) -> None:
        """Resume from the copy of the run at an address, if it is known."""
        for server in self.context.placement.directory.usable(self.service):
            if server.address == address:
                self.copy_holder = server

    async def backup(
        self,
        server: BackendServer,
        resumption: Resumption,
    ) -> BackendServer | None:
        """Choose the engine to which ``server`` replicates the run.

        None if the service does not support backups or no engine is eligible.
        """
        if self.memory is None or not self.memory.backups:
            return None
        if resumption.copy_at is not None:
            # The caller is waiting for the next event; probing takes too long.
            return next(iter(self._rank_backups(server)), None)
        return await self.context.reports.best(
            functools.partial(self._rank_backups, server),
            BACKUP_CANDIDATES,
        )

    def reserve(self, server: BackendServer) -> None:
        """Add the stream to the load of an engine, before it is sent."""
        now_s = self.context.timers.now()
        self.context.loads.started(server.name, self.demand.tokens, now_s)
        self.context.health.started(server)

    def release(self, server: BackendServer, *, prefilled: bool) -> None:
        """Remove the stream from the load of an engine.

        Args:
            server: the engine.
            prefilled: whether the engine has finished reading the prompt.
        """
        tokens = self.demand.tokens
        if tokens and not prefilled:
            self.context.loads.prefilled(server.name)
        self.context.loads.ended(server.name, tokens)
        self.context.health.ended(server)

    def send_ended(
        self,
        server: BackendServer,
        outcome: Outcome,
        resumption: Resumption,
        backup: BackendServer | None,
    ) -> None:
        """Record which engine failed and which may hold a copy of the run."""
        if isinstance(outcome, Lost):
            self.failed_names.add(server.name)
            self.lost_zones.add(server.availability_zone)
            # Engines replicate a run from its first event on.
            self.copy_holder = backup if self.progress.events else None
        elif resumption.copy_at is None and outcome is not RESUMED:
            self.failed_names.add(server.name)
            if isinstance(outcome, Refused) and not outcome.reached:
                self.unreached_names.add(server.name)

    def _choose_versions(self) -> Choice:
        """Choose any version for a new stream; others keep theirs."""
        version = self.progress.software_version
        if version is None:
            return self.context.rollouts.choose(self.service)
        return self.context.rollouts.go_on(self.service, version)

    async def _find_engine(
        self, is_eligible: EligibilityCheck
    ) -> BackendServer | None:
        self.limited_names = set()
        lacks_room = False
        for _ in range(MAX_LIMITED):
            server = await self.context.reports.best(
                self._rank_engines, STREAM_CANDIDATES
            )
            if server is None:
                lacks_room = lacks_room or self._has_usable_engines()
                break
            has_room = self._has_room(server)
            if has_room and await is_eligible(server):
                return server
            lacks_room = lacks_room or not has_room
            self.limited_names.add(server.name)
        self.room.record_no_server(lacks_room=lacks_room)
        return None

    async def _find_unreached(
        self, is_eligible: EligibilityCheck
    ) -> BackendServer | None:
        """Choose an engine that was unreachable before and answers again.

        The caller has a part of the stream, which would be cut otherwise.
        """
        if not self.unreached_names:
            return None
        self.failed_names -= self.unreached_names
        self.unreached_names.clear()
        server = await self._find_engine(is_eligible)
        if server is None or await self.has_answered_lately(server):
            return server
        self.failed_names.add(server.name)
        return None

    def _has_usable_engines(self) -> bool:
        """Return whether an engine could take the stream, had it room."""
        now_s = self.context.timers.now()
        demand = replace(self._current_demand(), tokens=0, capacity_tokens=0)
        return bool(self.context.placement.ranked(demand, now_s))

    def _has_room(self, server: BackendServer) -> bool:
        if self.needs_room is None or self.room.asks_engines:
            return True
        context = self.context
        return self.needs_room(
            context.loads, server, self.demand, context.timers.now()
        )

    def _rank_engines(self) -> list[BackendServer]:
        now_s = self.context.timers.now()
        return self.context.placement.ranked(self._current_demand(), now_s)

    def _rank_backups(self, server: BackendServer) -> list[BackendServer]:
        now_s = self.context.timers.now()
        demand = replace(
            self._current_demand(),
            software_version=server.software_version,
            excluded_versions=(),
        )
        backups = [
            backup
            for backup in self.context.placement.backups(server, demand, now_s)
            if not self.context.limits.is_paused(backup.incarnation)
        ]
        # Engines of a zone that has just failed may fail again, or be gone.
        return sorted(
            backups,
            key=lambda backup: backup.availability_zone in self.lost_zones,
        )

    def _current_demand(self) -> Demand:
        excluded = self.failed_names | self.limited_names | self.room.full_names
        return replace(
            self.demand,
            excluded=excluded | {self.silent_name},
            software_version=(
                self.progress.software_version or self.choice.software_version
            ),
            excluded_versions=self.choice.excluded,
        )
