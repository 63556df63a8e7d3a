"""Carries out the operator's orders, on the one host that decides."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.platform import (
    STATUS_TABLE,
    RowChange,
    StoreClient,
    encode_status,
    status_key,
)
from celerywharf.rollouts import (
    COUNTED_S,
    Arrivals,
    RolloutBounds,
    RolloutOrder,
    RolloutStep,
    ServiceTally,
    StepDecider,
    View,
    first_step,
)
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._rollout_rows import (
    STEP_TABLE,
    encode_step,
    fit_row,
    from_messages,
    to_message,
)
from celerywharf.sharing._rollout_zones import ZoneCounts
from celerywharf.sharing._stored_steps import StoredStep, StoredSteps
from celerywharf.wire import Sender
from celerywharf.wire.rollouts import RolloutQuestion

logger = logging.getLogger(__name__)

# A decider that answers no other reader for this long is replaced.
TAKEOVER_S = 1.5
# Two fronts may believe to be the reader of their zone until they have read its
# row.  They do so before they replace the host that decides.
ROLE_CHECK_S = 0.5
REPORT_TIMEOUT_S = 0.5
CONFIRMED_S = 1.0
FIRST_CHANCE = 0.5  # that one of several readers writes the first step now


@dataclass(slots=True)
class Deciding:
    """What this host needs in order to decide about one order.

    Attributes:
        decider: decides the steps.
        arrivals: counts the requests that arrive.
    """

    decider: StepDecider
    arrivals: Arrivals = field(default_factory=Arrivals)


@dataclass(slots=True)
class OtherDecider:
    """Another host that decides about a service.

    Attributes:
        host: as in its steps.
        heard_s: when it was last heard, or became known; monotonic seconds.
        is_role_checked: this host has checked since then that it is the
            reader of its zone.
    """

    host: str
    heard_s: float
    is_role_checked: bool = False

    def check_once(self, check_role: Callable[[], None]) -> None:
        """Check the role of this host once while the other is silent."""
        if not self.is_role_checked:
            self.is_role_checked = True
            check_role()


class RolloutControl:
    """Decides steps, or reports to the host that does.

    Attributes:
        steps: the steps in the store.
        register: what this host knows and has counted.
        store: the platform's store.
        readers: links to the readers of other zones.
        bounds: what a new version may get.
        host: name and incarnation of this host.
        check_role: checks whether this host is still the reader of its zone.
        status_versions: version of the row with the status, by service.
        deciding: what decides, by service and version of the order.
        others: the other hosts that decide, by service.
        host_tallies: counts of the other hosts of the zone, by host.
        zones: counts of the other zones.
    """

    def __init__(
        self,
        steps: StoredSteps,
        store: StoreClient,
        readers: ZoneReaders,
        bounds: RolloutBounds,
        check_role: Callable[[], None],
        random: Random,
    ) -> None:
        identity = readers.identity
        self.steps = steps
        self.register = steps.register
        self.store = store
        self.readers = readers
        self.bounds = bounds
        self.host = f'{identity.name}/{identity.incarnation}'
        self.check_role = check_role
        self.random = random
        self.status_versions: dict[str, int] = {}
        self.deciding: dict[tuple[str, int], Deciding] = {}
        self.others: dict[str, OtherDecider] = {}
        self.host_tallies: dict[str, dict[str, ServiceTally]] = {}
        self.zones = ZoneCounts()

    def learn_counts(self, sender: Sender, question: RolloutQuestion) -> None:
        """Learn the counts of another host or zone.

        Raises:
            PeerUnreachableError: another zone takes this host for the one that
                decides, which it is not.
        """
        tallies = from_messages(question.counts)
        zone = question.availability_zone
        if not zone:
            name = f'{sender.host}/{sender.incarnation}'
            self.host_tallies[name] = tallies
            return
        if not any(map(self._is_decided_here, tallies)):
            raise PeerUnreachableError('this host decides no roll-out')
        self.zones.learn(zone, tallies, self.register.now())

    async def attend(self) -> None:
        """Decide, report or take over, for each order in progress.

        Raises:
            CelerywharfError: the store did not answer.
        """
        for order in self.register.orders():
            await self._attend_to(order)

    def forget_counts(self) -> None:
        """Drop what was counted for roll-outs that have ended."""
        self.deciding.clear()
        self.others.clear()
        self.host_tallies.clear()
        self.zones.clear()

    async def _attend_to(self, order: RolloutOrder) -> None:
        stored = self.steps.rows.get(order.service)
        if stored is None or not stored.step.carries_out(order):
            if stored is None or self._is_newer(order, stored.step):
                await self._begin(order, stored)
        elif stored.step.stage.is_final:
            self.register.learn_step(stored.step, stored.version)
        elif stored.step.host == self.host:
            await self._decide(order, stored)
        else:
            await self._report(order, stored)

    def _is_newer(self, order: RolloutOrder, step: RolloutStep) -> bool:
        """Return whether a step is of an order before this one."""
        if step.era < self.store.era.current:
            return True
        return step.order_version < order.version

    async def _begin(
        self, order: RolloutOrder, stored: StoredStep | None
    ) -> None:
        if self.random.random() > FIRST_CHANCE:
            return
        state = self.register.services[order.service]
        barred = state.barred
        running = self.register.versions(order.service)
        replaced = running - barred - {order.to}
        step = replace(
            first_step(order, self.bounds),
            replaced=tuple(sorted(replaced)),
            barred=tuple(sorted(barred)),
            early_part=state.early_part,
        )
        fitted = fit_row(step, running)
        if len(fitted.barred) < len(step.barred):
            logger.warning(
                'former versions dropped from a roll-out',
                extra={
                    'service': order.service,
                    'kept': len(fitted.barred),
                    'dropped': len(step.barred) - len(fitted.barred),
                },
            )
        await self._write(fitted, stored)

    async def _decide(self, order: RolloutOrder, stored: StoredStep) -> None:
        self.others.pop(order.service, None)
        if order.service in self.steps.unreadable:
            await self._write(
                replace(stored.step, reason='its row was unreadable'), stored
            )
            return
        deciding = self.deciding.setdefault(
            (order.service, order.version), Deciding(StepDecider(self.bounds))
        )
        of_zones = self.zones.of_order(order.service, order.version)
        tally = self._zone_tally(order).add_all(of_zones.values())
        view = View(
            tally,
            *self.register.slots(order.service, order.to),
            is_confirmed=self._is_confirmed(order.service),
            arrived=self._count_arrivals(order, deciding.arrivals),
        )
        now_s = self.register.store_time_s()
        step = deciding.decider.decide(stored.step, view, now_s)
        if step is not None:
            await self._write(step, stored, tally)

    async def _report(self, order: RolloutOrder, stored: StoredStep) -> None:
        """Tell the host that decides; replace it if it does not answer."""
        step = stored.step
        self.deciding.pop((order.service, order.version), None)
        other = self._other_decider(step)
        silent_s = self.register.now() - other.heard_s
        is_own_zone = step.availability_zone == self.readers.own_zone
        # The silence may be a stop of this host, which then has to ask again.
        is_judged = other.is_role_checked
        if is_own_zone or silent_s > ROLE_CHECK_S:
            other.check_once(self.check_role)
        patience_s = ROLE_CHECK_S if is_own_zone else TAKEOVER_S
        if is_judged and silent_s > patience_s:
            await self._write(
                replace(step, reason='the deciding host did not answer'), stored
            )
        elif not is_own_zone:
            await self._tell(order, other, step.availability_zone)

    async def _tell(
        self, order: RolloutOrder, other: OtherDecider, zone: str
    ) -> None:
        counts = [to_message(self._zone_tally(order))]
        question = RolloutQuestion(counts, self.readers.own_zone)
        try:
            await self.readers.request(zone, question, REPORT_TIMEOUT_S)
        except CelerywharfError as error:
            logger.info(
                'no report to the deciding host',
                extra={'service': order.service, 'reason': error.message},
            )
            return
        other.heard_s = self.register.now()
        other.is_role_checked = False
        self.zones.decided_until(order.service, zone, other.heard_s)

    def _other_decider(self, step: RolloutStep) -> OtherDecider:
        """Return the other host that decides."""
        known = self.others.get(step.service)
        if known is None or known.host != step.host:
            known = OtherDecider(step.host, self.register.now())
            self.others[step.service] = known
            self.zones.forget_reports(step.service)
        return known

    def _zone_tally(self, order: RolloutOrder) -> ServiceTally:
        """Return the counts of all hosts of the zone."""
        tally = ServiceTally(order.service, order.version)
        return tally.add_all(
            tallies[order.service]
            for tallies in self._hosts().values()
            if order.service in tallies
        )

    def _count_arrivals(self, order: RolloutOrder, arrivals: Arrivals) -> int:
        """Return how many requests have arrived since this host decides."""
        now_s = self.register.now()
        for host, tallies in self._hosts().items():
            tally = tallies.get(order.service)
            if tally is not None and tally.order_version == order.version:
                arrivals.record(host, tally.requests, now_s)
        of_zones = self.zones.of_order(order.service, order.version)
        for zone, told in of_zones.items():
            arrivals.record(zone, told.requests, now_s, counted_s=COUNTED_S)
        return arrivals.total

    def _hosts(self) -> dict[str, dict[str, ServiceTally]]:
        """Return the counts of the hosts of the zone, by host."""
        own = {tally.service: tally for tally in self.register.tallies()}
        return {self.host: own, **self.host_tallies}

    def _is_confirmed(self, service: str) -> bool:
        """Return whether the store answers and all counts are known."""
        now_s = self.register.now()
        is_complete = self.zones.are_complete(
            service, self.readers.readers, now_s
        )
        return is_complete and now_s - self.register.confirmed_s <= CONFIRMED_S

    def _is_decided_here(self, service: str) -> bool:
        stored = self.steps.rows.get(service)
        return stored is not None and stored.step.host == self.host

    async def _write(
        self,
        step: RolloutStep,
        stored: StoredStep | None,
        tally: ServiceTally | None = None,
    ) -> None:
        """Write a step and the status, unless another host wrote before."""
        step = replace(
            step,
            host=self.host,
            availability_zone=self.readers.own_zone,
            era=max(self.store.era.current, stored.step.era if stored else 0),
        )
        changes = [
            RowChange(
                step.service,
                encode_step(step),
                self.steps.row_version(step.service),
            )
        ]
        if (
            stored is None
            or step.service in self.steps.unreadable
            or encode_status(stored.step) != encode_status(step)
        ):
            changes.append(await self._status_change(step))
        self.status_versions.pop(step.service, None)
        written = await self.store.transact(STEP_TABLE, changes)
        if written.version is None:
            self.steps.apply_current(step.service, written.current)
            return
        self.steps.learn(step, written.version)
        if len(changes) > 1:
            self.status_versions[step.service] = written.version
        logger.info('roll-out step', extra=_describe(step, tally))

    async def _status_change(self, step: RolloutStep) -> RowChange:
        key = status_key(step.service)
        version = self.status_versions.get(step.service)
        if version is None:
            reading = await self.store.read_row(STATUS_TABLE, key)
            version = next((row.version for row in reading.rows), 0)
        return RowChange(key, encode_status(step), version, STATUS_TABLE)


def _describe(
    step: RolloutStep, tally: ServiceTally | None
) -> dict[str, object]:
    fields: dict[str, object] = {
        'service': step.service,
        'to': step.to,
        'stage': step.stage.value,
        'share': step.share,
        'move_s': step.move_s,
        'requests': step.requests,
        'exposed': step.exposed,
        'reason': step.reason,
    }
    if tally is not None:
        counts: defaultdict[str, int] = defaultdict(int)
        for (_, is_new), counted in tally.routes.items():
            side = 'new' if is_new else 'old'
            for name in ('ended', 'failed', 'broken'):
                counts[f'{side}_{name}'] += getattr(counted, name)
        fields.update(counts)
    return fields
