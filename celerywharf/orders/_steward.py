"""Brings one backend server to the state its row asks for."""

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
from celerywharf.orders._leases import (
    KEY_PREFIX,
    Action,
    Found,
    FoundLease,
    InDoubt,
    LeaseLogic,
    LeaseRow,
    LeaseTimes,
    Message,
    Read,
    Ready,
    Unavailable,
    Wait,
    Wanted,
    Write,
    Written,
)
from celerywharf.orders._queue import WeightQueue
from celerywharf.orders._wishes import next_order
from celerywharf.tables import REVISION_KEY, BackendServer

if TYPE_CHECKING:
    from celerywharf.hosts import Host

ID_BYTES = 8


class Steward:
    """Gives the orders of one backend server, one at a time.

    Attributes:
        settled_at_s: monotonic time before which what the engine says may
            not yet show the last order.
        doubtful: the last order may still be on its way.
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
        self.settled_at_s: float = 0
        self.doubtful = False

    async def attend(self) -> None:
        """Look at the engine and order what is missing."""
        try:
            await self._attend()
        except StaleFencingError:
            self.lease.lose()
            self._record('order_refused')
        except CelerywharfError as error:
            name = 'order_in_doubt' if self.doubtful else 'order_not_given'
            self._record(name, code=error.code)

    async def release(self) -> None:
        """Give the lease back unless an order may be on its way."""
        if self.doubtful and self._now() < self.settled_at_s:
            return
        write = self.lease.release()
        if write is not None:
            await self._write(write)

    async def _attend(self) -> None:
        self.lease.checks_fencing = self._row().checks_fencing
        order = await self._wanted()
        while order is not None:
            if not await self._may_load(order):
                return
            fresh = self.lease.may_order(self._now())
            if not fresh:
                await self._acquire()
                order = await self._wanted()
                continue
            await self._issue(order)
            order = await self._wanted()
        await self.release()

    async def _wanted(self) -> Order | None:
        """Read the engine's state; wait until it shows the last order."""
        while True:
            state = await self.engine.read_state(self._row().url)
            late_s = self._lateness(state)
            if late_s <= 0:
                self.doubtful = False
                return next_order(self._row(), state)
            await asyncio.sleep(late_s)

    def _lateness(self, state: EngineState) -> float:
        return self.settled_at_s - (self._now() - state.age_s)

    async def _may_load(self, order: Order) -> bool:
        if order.kind is not OrderKind.load:
            return True
        return await self.queue.ask(self._row(), order.name)

    async def _acquire(self) -> None:
        action: Action = await self._decide(self._want())
        while not isinstance(action, Ready):
            match action:
                case Wait(delay_s):
                    await asyncio.sleep(delay_s)
                    message = self._want()
                case Read():
                    message = await self._read()
                case Write():
                    message = await self._write(action)
            action = await self._decide(message)

    def _want(self) -> Wanted:
        return Wanted(secrets.token_hex(ID_BYTES))

    async def _decide(self, message: Message) -> Action:
        if isinstance(message, Unavailable):
            raise PlatformUnavailableError('no lease while it is down')
        return self.lease.decide(message, self._now())

    async def _read(self) -> Message:
        key = KEY_PREFIX + self.name
        try:
            rows = await self.host.platform.read([key, REVISION_KEY])
        except CelerywharfError:
            return Unavailable()
        self._check_revision(rows.get(REVISION_KEY))
        if key not in rows:
            return Found(FoundLease(0, None))
        row = LeaseRow.from_json(rows[key].value)
        return Found(FoundLease(rows[key].version, row))

    def _check_revision(self, stored: StoredRow | None) -> None:
        """Give no orders from rows that may have changed meanwhile."""
        current = stored.value['revision'] if stored else 0
        if current > self.host.catalogue.revision:
            raise NotRunError('the table here is behind the platform')

    async def _write(self, write: Write) -> Message:
        key = KEY_PREFIX + self.name
        puts = {key: write.row.to_json()}
        try:
            versions = await self.host.platform.commit(
                {key: write.version},
                puts,
            )
        except RowConflictError as error:
            return Found(_found((error.current or {}).get(key)))
        except PlatformUnavailableError:
            return Unavailable()
        except CelerywharfError:
            return InDoubt()
        return Written(versions[key])

    async def _issue(self, order: Order) -> None:
        row = self._row()
        order_id = secrets.token_hex(ID_BYTES)
        self._record('order_given', order_id, kind=order.kind, model=order.name)
        self.doubtful = True
        self.settled_at_s = self._now() + self.flight_s
        try:
            await self.engine.issue(
                row.url,
                order,
                fencing=self.lease.fencing,
                order_id=order_id,
                timeout_s=self.flight_s,
                guard=self._may_order,
            )
        except NotRunError:
            self._settle()
            raise
        self._settle()

    def _settle(self) -> None:
        self.doubtful = False
        self.settled_at_s = self._now()

    def _may_order(self) -> bool:
        return self.lease.may_order(self._now())

    def _row(self) -> BackendServer:
        row = self.host.catalogue.backend_servers.get(self.name)
        if row is None:
            raise NotFoundError(f'no backend server {self.name}')
        return row

    def _now(self) -> float:
        return self.host.timers.now()

    def _record(self, name: str, order: str = '', **details: str) -> None:
        self.host.recorder.record(
            name,
            backend_server=self.name,
            order=order,
            **details,
        )


def _found(document: dict | None) -> FoundLease:
    if document is None:
        return FoundLease(0, None)
    return FoundLease(
        document['version'],
        LeaseRow.from_json(document['value']),
    )
