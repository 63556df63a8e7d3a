"""Reconciliation of one backend server with its row in the table."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from celerywharf.adapters.orders import (
    EngineState,
    Order,
    OrderClient,
    OrderKind,
)
from celerywharf.adapters.platforms import StoredRow
from celerywharf.exceptions import (
    CelerywharfError,
    NotFoundError,
    NotRunError,
    PlatformUnavailableError,
    RowConflictError,
    StaleFencingError,
)
from celerywharf.orders._desired_state import next_order
from celerywharf.orders._leases import (
    LEASE_KEY_PREFIX,
    Action,
    LeaseLogic,
    LeaseNeeded,
    LeaseRead,
    LeaseRow,
    LeaseTimes,
    LeaseWritten,
    Message,
    PlatformUnavailable,
    Read,
    Ready,
    StoredLease,
    Wait,
    Write,
    WriteOutcomeUnknown,
)
from celerywharf.orders._weight_queue import WeightQueue
from celerywharf.platform import boot_time_s
from celerywharf.tables import REVISION_KEY, BackendServer

if TYPE_CHECKING:
    from celerywharf.hosts import Host

RANDOM_ID_BYTES = 8


class Reconciler:
    """Sends the orders of one backend server, one at a time.

    Attributes:
        state_valid_from_s: monotonic time; a state of the engine from before
            it may not yet include the effect of the last order.
        outcome_unknown: whether the last order may still be in flight.
    """

    def __init__(
        self,
        host: Host,
        queue: WeightQueue,
        backend: BackendServer,
    ) -> None:
        self.host = host
        self.queue = queue
        self.name = backend.name
        self.engine = OrderClient(host.transport)
        settings = host.settings.orders
        self.flight_s = settings.flight_s
        times = LeaseTimes(
            settings.lease_s,
            settings.margin_s,
            settings.flight_s,
        )
        self.lease = LeaseLogic(
            host.identity.name,
            times,
            checks_fencing=backend.checks_fencing,
        )
        self.state_valid_from_s: float = 0
        self.outcome_unknown = False

    async def reconcile(self) -> None:
        """Send orders until the engine's state matches its row.

        Returns early while the zone lacks the weights of a model.  A
        CelerywharfError is recorded as an event, not raised.
        """
        try:
            await self._reconcile()
        except StaleFencingError:
            self.lease.discard()
            self._record('order_refused')
        except CelerywharfError as error:
            name = (
                'order_in_doubt' if self.outcome_unknown else 'order_not_given'
            )
            self._record(name, code=error.code)

    async def release(self) -> None:
        """Release the lease unless an order may be in flight."""
        if self.outcome_unknown and self._now() < self.state_valid_from_s:
            return
        write = self.lease.release()
        if write is not None:
            await self._write(write)

    async def _reconcile(self) -> None:
        self.lease.checks_fencing = self._row().checks_fencing
        order = await self._next_order()
        while order is not None:
            if not await self._may_load(order):
                return
            lease_valid = self.lease.may_send_order(self._now())
            if not lease_valid:
                await self._acquire()
                order = await self._next_order()
                continue
            await self._issue(order)
            order = await self._next_order()
        await self.release()

    async def _next_order(self) -> Order | None:
        # Waits for a state that includes the effect of the last order.
        while True:
            state = await self.engine.read_state(self._row().url)
            remaining_s = self._time_until_valid_s(state)
            if remaining_s <= 0:
                self.outcome_unknown = False
                return next_order(self._row(), state)
            await asyncio.sleep(remaining_s)

    def _time_until_valid_s(self, state: EngineState) -> float:
        return self.state_valid_from_s - (self._now() - state.age_s)

    async def _may_load(self, order: Order) -> bool:
        if order.kind is not OrderKind.load:
            return True
        return await self.queue.request(self._row(), order.name)

    async def _acquire(self) -> None:
        action: Action = await self._decide(self._lease_needed())
        while not isinstance(action, Ready):
            match action:
                case Wait(delay_s):
                    await asyncio.sleep(delay_s)
                    message = self._lease_needed()
                case Read():
                    message = await self._read()
                case Write():
                    message = await self._write(action)
            action = await self._decide(message)

    def _lease_needed(self) -> LeaseNeeded:
        return LeaseNeeded(secrets.token_hex(RANDOM_ID_BYTES))

    async def _decide(self, message: Message) -> Action:
        if isinstance(message, PlatformUnavailable):
            raise PlatformUnavailableError(
                'no lease: the platform cannot be reached'
            )
        return self.lease.decide(message, self._now())

    async def _read(self) -> Message:
        key = LEASE_KEY_PREFIX + self.name
        try:
            rows = await self.host.platform.read([key, REVISION_KEY])
        except CelerywharfError:
            return PlatformUnavailable()
        self._check_revision(rows.get(REVISION_KEY))
        if key not in rows:
            return LeaseRead(StoredLease(0, None))
        row = LeaseRow.from_json(rows[key].value)
        return LeaseRead(StoredLease(rows[key].version, row))

    def _check_revision(self, stored: StoredRow | None) -> None:
        # A row that has since changed must not lead to an order.
        current = stored.value['revision'] if stored else 0
        if current > self.host.catalogue.revision:
            raise NotRunError("the local table is older than the platform's")

    async def _write(self, write: Write) -> Message:
        key = LEASE_KEY_PREFIX + self.name
        puts = {key: write.row.to_json()}
        try:
            versions = await self.host.platform.commit(
                {key: write.version},
                puts,
            )
        except RowConflictError as error:
            return LeaseRead(_stored_lease((error.current or {}).get(key)))
        except PlatformUnavailableError:
            return PlatformUnavailable()
        except CelerywharfError:
            return WriteOutcomeUnknown()
        return LeaseWritten(versions[key])

    async def _issue(self, order: Order) -> None:
        row = self._row()
        order_id = secrets.token_hex(RANDOM_ID_BYTES)
        self._record('order_given', order_id, kind=order.kind, model=order.name)
        self.outcome_unknown = True
        self.state_valid_from_s = self._now() + self.flight_s
        try:
            await self.engine.issue(
                row.url,
                order,
                fencing=self.lease.fencing,
                order_id=order_id,
                timeout_s=self.flight_s,
                guard=self._may_send_order,
            )
        except NotRunError:
            self._mark_settled()
            raise
        self._mark_settled()

    def _mark_settled(self) -> None:
        self.outcome_unknown = False
        self.state_valid_from_s = self._now()

    def _may_send_order(self) -> bool:
        return self.lease.may_send_order(self._now())

    def _row(self) -> BackendServer:
        row = self.host.catalogue.backend_servers.get(self.name)
        if row is None:
            raise NotFoundError(f'the table has no backend server {self.name}')
        return row

    def _now(self) -> float:
        return boot_time_s()

    def _record(self, name: str, order: str = '', **details: str) -> None:
        self.host.recorder.record(
            name,
            backend_server=self.name,
            order=order,
            **details,
        )


def _stored_lease(document: dict | None) -> StoredLease:
    if document is None:
        return StoredLease(0, None)
    return StoredLease(
        document['version'],
        LeaseRow.from_json(document['value']),
    )
