"""What a host knows of roll-outs, and what it counts."""

from __future__ import annotations

import copy
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Protocol

from celerywharf.backends import BackendServer, Directory
from celerywharf.rollouts._counts import ServiceTally, bucket_of
from celerywharf.rollouts._sends import VersionSend
from celerywharf.rollouts._steps import (
    DONE_LEAD_S,
    SETTLE_S,
    RolloutOrder,
    RolloutStep,
    Stage,
)

# A host that has not heard for longer that a step still holds raises nothing.
CONFIRMED_S = 1.5


class StepSource(Protocol):
    """Where the steps come from.

    Attributes:
        has_begun: they have been read, or cannot be.
    """

    has_begun: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """Which software versions a send may go to.

    Attributes:
        service: name of the service.
        software_version: the only one; None if there are several.
        excluded: those that it must not go to.
        counted: the send is counted as one to the new version already.
    """

    service: str = ''
    software_version: str | None = None
    excluded: frozenset[str] = frozenset()
    counted: bool = False


ANY_VERSION = Choice()


@dataclass(slots=True)
class ServiceState:
    """What a host knows of the roll-out of one service.

    Attributes:
        service: name of the service.
        order: the operator's order; None if it was withdrawn.
        step: the newest step; None before the first.
        row_version: version of the row with the step, and the era before it.
        early_part: part of the slots that the new version had when the order
            came.
        credit: sends to the new version that are due.
        ordered_s: when the order came, monotonic seconds.
        quota: requests that may still move before the last step.
        is_moved: all requests go to the new version, by the step.
        is_listed: the configuration has the service.
        abandoned: versions of earlier orders that had no step here.
        tally: what this host has counted since the order.
        open_sends: those that have not ended.
    """

    service: str
    order: RolloutOrder | None = None
    step: RolloutStep | None = None
    row_version: tuple[int, int] = (0, 0)
    early_part: float = 0
    credit: float = 0
    ordered_s: float = 0
    quota: float = 0
    is_moved: bool = False
    is_listed: bool = True
    abandoned: frozenset[str] = frozenset()
    tally: ServiceTally = field(default_factory=lambda: ServiceTally('', 0))
    open_sends: set[VersionSend] = field(default_factory=set)

    @property
    def current_step(self) -> RolloutStep | None:
        """Return the step of the order, or the last one without an order."""
        if self.step is None or self.order is None:
            return self.step
        return self.step if self.step.carries_out(self.order) else None

    @property
    def barred(self) -> frozenset[str]:
        """Return the versions that get nothing, besides the one ordered."""
        barred = self.abandoned
        step = self.step
        if step is not None:
            barred = barred.union(step.barred)
            if step.stage is Stage.done:
                barred = (barred - {step.to}).union(step.replaced)
            elif step is not self.current_step:
                barred |= {step.to}
        return barred - {self.order.to} if self.order else barred

    @property
    def target(self) -> str | None:
        """Return the version that is tried; None if it has been accepted."""
        if self.order is not None:
            return self.order.to
        if self.step is None or self.step.stage is Stage.done:
            return None
        return self.step.to

    @property
    def is_active(self) -> bool:
        """Return whether steps of the order are still to come."""
        step = self.current_step
        if self.order is None or not self.is_listed:
            return False
        return step is None or not step.stage.is_final

    def begin(
        self,
        order: RolloutOrder,
        now_s: float,
        credit: float,
        slots: tuple[int, int],
    ) -> None:
        """Count anew, for an order that is carried out from now on.

        Args:
            order: the order.
            now_s: monotonic seconds.
            credit: sends to the new version that are due.
            slots: of the new version's servers, and of the others.
        """
        self.order = order
        self.is_moved = False
        self.ordered_s = now_s
        self.credit = credit
        self.early_part = slots[0] / max(sum(slots), 1)
        self.tally = ServiceTally(self.service, order.version)

    def counts(self, now_s: float) -> ServiceTally:
        """Return what was counted; sends that still wait are late."""
        tally = ServiceTally(
            self.tally.service,
            self.tally.order_version,
            self.tally.requests,
            self.tally.exposed,
        )
        copies = {}
        for name, counted in self.tally.routes.items():
            tally.routes[name] = copy.deepcopy(counted)
            copies[id(counted)] = tally.routes[name]
        for send in self.open_sends:
            copied = copies.get(id(send.tally))
            if send.first_s is None and copied is not None:
                copied.late[bucket_of(now_s - send.started_s)] += 1
        return tally


class RolloutRegister:
    """Chooses versions for sends by the steps of roll-outs, and counts them.

    Answers the load of all callers of a service at this host.  The share of a
    step is kept host by host: each sends the new version at most that share
    of its own requests, with a random start, so that the sum over hosts keeps
    it at any number of hosts and any skew, and hosts with few requests take
    part.  Also the requests that move before the last step are limited host by
    host, to what was planned for them.  Between an order and its first step
    the new version gets nothing.

    Attributes:
        directory: the known backend servers.
        now: returns monotonic seconds, with the time of suspensions.
        sends_now: returns monotonic seconds for the times of sends.
        store_time_s: returns the time on the store's clock, seconds.
        is_enabled: the deployment allows roll-outs.
        services: what is known, by service.
        confirmed_s: when the steps were last heard to hold, monotonic.
        subscribers: called when an order has come, changed or gone.
        source: exchanges steps and counts; None if this host is alone.
    """

    def __init__(
        self,
        directory: Directory,
        now: Callable[[], float],
        store_time_s: Callable[[], float],
        random: Random,
        *,
        is_enabled: bool,
        sends_now: Callable[[], float] | None = None,
    ) -> None:
        self.directory = directory
        self.now = now
        self.sends_now = sends_now or now
        self.store_time_s = store_time_s
        self.random = random
        self.is_enabled = is_enabled
        self.services: dict[str, ServiceState] = {}
        self.confirmed_s = float('-inf')
        self.subscribers: list[Callable[[], None]] = []
        self.source: StepSource | None = None

    def has_begun(self) -> bool:
        """Return whether the steps so far are known, or cannot be read."""
        return self.source is None or self.source.has_begun

    @property
    def is_active(self) -> bool:
        """Return whether any roll-out is in progress."""
        return any(state.is_active for state in self.services.values())

    def orders(self) -> list[RolloutOrder]:
        """Return the orders that are not carried out yet."""
        return [
            state.order
            for state in self.services.values()
            if state.order is not None and state.is_active
        ]

    def steps(self) -> list[tuple[RolloutStep, int]]:
        """Return the newest steps that are known, and their rows' versions."""
        return [
            (state.step, state.row_version[1])
            for state in self.services.values()
            if state.step is not None
        ]

    def set_order(
        self,
        service: str,
        order: RolloutOrder | None,
        *,
        is_listed: bool = True,
    ) -> None:
        """Learn an order of the operator, or that there is none.

        Args:
            service: name of the service.
            order: the order; None if there is none.
            is_listed: the configuration has the service.  Otherwise the order
                waits, and no steps or counts are exchanged for it.
        """
        if not self.is_enabled or not (order or service in self.services):
            return
        state = self.services.setdefault(service, ServiceState(service))
        previous = state.order
        if order == previous:
            return
        if previous is not None and state.current_step is None:
            state.abandoned |= {previous.to}
        state.is_listed = is_listed
        state.order = order
        if order is not None:
            slots = self.slots(service, order.to)
            state.begin(order, self.now(), self.random.random(), slots)
        for subscriber in self.subscribers:
            subscriber()

    def set_listed(
        self, service: str, store_s: float, *, is_listed: bool
    ) -> None:
        """Learn whether the configuration has a service with an order.

        The period of an order without a step begins when it has.

        Args:
            service: name of the service.
            store_s: the time on the store's clock, seconds.
            is_listed: the configuration has the service.
        """
        state = self.services.get(service)
        if state is None or state.is_listed is is_listed:
            return
        state.is_listed = is_listed
        if is_listed and state.order and state.current_step is None:
            order = replace(state.order, ordered_s=store_s)
            slots = self.slots(service, order.to)
            state.begin(order, self.now(), self.random.random(), slots)
        for subscriber in self.subscribers:
            subscriber()

    def learn_step(self, step: RolloutStep, row_version: int) -> None:
        """Learn a step from its row, unless a newer one is known.

        The last step of an order stays, also if the store has come back from
        an older copy.
        """
        if not self.is_enabled:
            return
        state = self.services.setdefault(
            step.service, ServiceState(step.service)
        )
        version = (step.era, row_version)
        if version <= state.row_version:
            return
        known = state.step
        if known is not None and known.stage.is_final:
            is_same = (known.order_version, known.to) == (
                step.order_version,
                step.to,
            )
            if is_same and step.stage is not known.stage:
                return
        if (
            known is None
            or known.stage is not step.stage
            or known.move_s < step.move_s
        ):
            state.is_moved = False
        state.step = step
        state.row_version = version

    def confirm(self, age_s: float = 0) -> None:
        """Record that the store had no newer step so many seconds ago."""
        self.confirmed_s = max(self.confirmed_s, self.now() - age_s)

    def choose(self, service: str) -> Choice:
        """Return which versions the next send to a service may go to."""
        state = self.services.get(service)
        if state is None:
            return ANY_VERSION
        step = state.current_step
        if step is None:
            return self._hold(state)
        match step.stage:
            case Stage.done:
                return Choice(
                    service,
                    excluded=_barred_at_the_end(state, self.versions(service)),
                )
            case Stage.rolled_back:
                return Choice(service, excluded=state.barred | {step.to})
            case Stage.moving if state.order and self._moves(state, step):
                return self._move(state, step)
        if state.order is not None and state.credit >= 1:
            state.credit -= 1
            state.tally.exposed += 1
            return Choice(service, step.to, counted=True)
        return self._hold(state)

    def choose_again(self, choice: Choice) -> Choice | None:
        """Return what else to try if no server of a choice can be used.

        None if there is nothing else.
        """
        state = self.services.get(choice.service)
        if state is None or choice.software_version is None:
            return None
        if choice.counted:
            state.tally.exposed -= 1
            state.credit = min(state.credit + 1, 1)
            return self._hold(state)
        state.quota += 1
        return Choice(choice.service, excluded=state.barred)

    def go_on(self, service: str, version: str) -> Choice:
        """Return the choice for a stream that a version has begun."""
        state = self.services.get(service)
        step = None if state is None else state.current_step
        if (
            step is not None
            and step.stage is Stage.rolled_back
            and version == step.to
        ):
            return Choice(service, excluded=frozenset((version,)))
        return Choice(service, version)

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        state = self.services.get(service)
        if state is None or not state.is_active:
            return
        state.tally.requests += 1
        step = state.current_step
        if step is not None:
            state.credit += step.share

    def started(
        self, server: BackendServer, route: str, *, counted: bool
    ) -> VersionSend | None:
        """Count a send; None if there is nothing to count.

        Args:
            server: where it goes.
            route: name of the route.
            counted: it was counted when it was chosen.
        """
        state = self.services.get(server.service)
        if state is None or state.order is None or not state.is_active:
            return None
        is_new = server.software_version == state.order.to
        if is_new and not counted:
            state.tally.exposed += 1
            state.credit -= 1
        send = VersionSend(
            state.tally.routes[route, is_new],
            self.sends_now(),
            state.open_sends.discard,
        )
        state.open_sends.add(send)
        return send

    def tallies(self) -> list[ServiceTally]:
        """Return what was counted for the orders in progress.

        Sends that wait for their first event are counted as late.
        """
        return [
            state.counts(self.sends_now())
            for state in self.services.values()
            if state.is_active
        ]

    def slots(self, service: str, version: str) -> tuple[int, int]:
        """Return the slots of a version's servers, and those of the others."""
        new = 0
        old = 0
        for server in self.directory.usable(service):
            if server.software_version == version:
                new += server.slots
            else:
                old += server.slots
        return new, old

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service's servers."""
        counts = self.directory.software_versions.counts
        return frozenset(counts.get(service, ()))

    def _move(self, state: ServiceState, step: RolloutStep) -> Choice:
        if state.quota < 1:
            return self._hold(state)
        state.quota -= 1
        return Choice(state.service, step.to)

    def _moves(self, state: ServiceState, step: RolloutStep) -> bool:
        """Return whether all requests go to the new version by now."""
        is_fresh = self.now() - self.confirmed_s <= CONFIRMED_S
        store_s = self.store_time_s()
        if is_fresh and store_s >= step.move_s and not state.is_moved:
            state.is_moved = True
            elapsed_s = max(self.now() - state.ordered_s, 1)
            rate = state.tally.requests / elapsed_s
            state.quota = step.most_moved(rate) + self.random.random()
        if store_s >= step.deadline_s - DONE_LEAD_S - SETTLE_S:
            state.quota = math.inf
        return state.is_moved

    def _hold(self, state: ServiceState) -> Choice:
        """Return that a version which is not tried gets nothing."""
        barred = state.barred
        target = state.target
        if target is None:
            return Choice(state.service, excluded=barred)
        if self.versions(state.service) - barred - {target}:
            barred |= {target}
        return Choice(state.service, excluded=barred)


def _barred_at_the_end(
    state: ServiceState, versions: frozenset[str]
) -> frozenset[str]:
    """Return the versions that get nothing once another one is accepted.

    There is none if the service has no other, so that it goes on.
    """
    barred = state.barred
    return barred if versions - barred else frozenset()
