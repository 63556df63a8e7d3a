"""The part that callers' calls go through."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._calls import Caller
from celerywharf.applications._claims import Claims, KeyedCall
from celerywharf.applications._idempotency import is_idempotent
from celerywharf.exceptions import NotFoundError, ShuttingDownError
from celerywharf.tables import Service, ServiceKind

if TYPE_CHECKING:
    from celerywharf.hosts import Host

LEAVING_RETRY_AFTER_S = 1.0


class Applications:
    """Calls to application services, non-idempotent ones at most once.

    Attributes:
        caller: makes the attempts.
        claims: keeps what was sent under which key.
        running: calls under way.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.caller = Caller(host)
        self.claims = Claims(host)
        self.running: set[asyncio.Future] = set()

    def start(self) -> None:
        """Begin writing claims."""
        self.claims.start()

    async def stop(self) -> None:
        """Stop at once."""
        await self.claims.stop()

    async def call(self, call: Call) -> Answer:
        """Carry out a call and return the application's answer.

        Raises:
            CelerywharfError: its verdict tells whether the call may have run.
        """
        if self.host.leaving:
            raise ShuttingDownError(
                'this host is leaving',
                retry_after_s=LEAVING_RETRY_AFTER_S,
            )
        service = self._service(call.service)
        done = asyncio.get_running_loop().create_future()
        self.running.add(done)
        try:
            return await self._call(service, call)
        finally:
            self.running.discard(done)
            done.set_result(None)

    def mint(self, client_account: str, count: int) -> list[str]:
        """Return new idempotency keys that need no platform."""
        return self.claims.mint.mint(client_account, count)

    async def drain(self) -> None:
        """Wait until every call under way has ended."""
        while self.running:
            await asyncio.wait(tuple(self.running))
        await self.claims.drain()

    async def _call(self, service: Service, call: Call) -> Answer:
        deadline_s = self.host.timers.now() + service.deadline_s
        idempotent = is_idempotent(service, call.method, call.path)
        send = functools.partial(
            self.caller.run,
            call,
            idempotent=idempotent,
            deadline_s=deadline_s,
        )
        if idempotent or not call.key:
            return await send()
        return await self.claims.call(KeyedCall(call, send))

    def _service(self, name: str) -> Service:
        service = self.host.catalogue.services.get(name)
        if service is None or service.kind is not ServiceKind.application:
            raise NotFoundError(f'no application service {name}')
        return service
