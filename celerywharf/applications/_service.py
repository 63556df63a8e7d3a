"""The part that callers' calls go through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._calls import Caller
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
        running: calls under way.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.caller = Caller(host)
        self.running: set[asyncio.Future] = set()

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

    async def drain(self) -> None:
        """Wait until every call under way has ended."""
        while self.running:
            await asyncio.wait(tuple(self.running))

    async def _call(self, service: Service, call: Call) -> Answer:
        deadline_s = self.host.timers.now() + service.deadline_s
        return await self.caller.run(
            call,
            idempotent=is_idempotent(service, call.method, call.path),
            deadline_s=deadline_s,
        )

    def _service(self, name: str) -> Service:
        service = self.host.catalogue.services.get(name)
        if service is None or service.kind is not ServiceKind.application:
            raise NotFoundError(f'no application service {name}')
        return service
