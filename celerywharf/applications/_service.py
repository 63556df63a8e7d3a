"""Entry point for calls to application services."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._calls import CallSender
from celerywharf.applications._claims import Claims, KeyedCall
from celerywharf.applications._idempotency import is_idempotent
from celerywharf.exceptions import NotFoundError, ShuttingDownError
from celerywharf.tables import Service, ServiceKind

if TYPE_CHECKING:
    from celerywharf.hosts import Host

SHUTDOWN_RETRY_AFTER_S = 1.0


class Applications:
    """Runs calls to application services, non-idempotent ones at most once.

    Attributes:
        sender: sends calls to backend servers.
        claims: claims idempotency keys and records answers under them.
        calls_in_progress: one future for each call, done when it ends.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.sender = CallSender(host)
        self.claims = Claims(host)
        self.calls_in_progress: set[asyncio.Future] = set()

    def start(self) -> None:
        """Begin writing and sweeping claims."""
        self.claims.start()

    async def stop(self) -> None:
        """Stop without waiting for calls in progress."""
        await self.claims.stop()

    async def call(self, call: Call) -> Answer:
        """Run a call and return the application's answer.

        Raises:
            CelerywharfError: its verdict says whether the call may have run.
        """
        if self.host.leaving:
            raise ShuttingDownError(
                'this host is leaving',
                retry_after_s=SHUTDOWN_RETRY_AFTER_S,
            )
        service = self._service(call.service)
        done = asyncio.get_running_loop().create_future()
        self.calls_in_progress.add(done)
        try:
            return await self._call(service, call)
        finally:
            self.calls_in_progress.discard(done)
            done.set_result(None)

    def mint(self, client_account: str, count: int) -> list[str]:
        """Return new idempotency keys that are claimed without the platform."""
        return self.claims.mint_store.mint(client_account, count)

    async def drain(self) -> None:
        """Wait until every call has ended, and briefly for its record."""
        while self.calls_in_progress:
            await asyncio.wait(tuple(self.calls_in_progress))
        await self.claims.drain()

    async def _call(self, service: Service, call: Call) -> Answer:
        deadline_s = self.host.timers.now() + service.deadline_s
        idempotent = is_idempotent(service, call.method, call.path)
        send = functools.partial(
            self.sender.run,
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
