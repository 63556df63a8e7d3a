"""Pending grant requests of this host and the grants that it holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.admissions._outboxes import Batch
from celerywharf.admissions.demands import Demand
from celerywharf.admissions.searches import Rejected, RequestGrant
from celerywharf.admissions.tickets import Refusal
from celerywharf.exceptions import CelerywharfError
from celerywharf.membership import Peer
from celerywharf.structures import Address
from celerywharf.tables import BackendServer
from celerywharf.wire import Sender
from celerywharf.wire.admissions import (
    GivenBack,
    GrantAnswer,
    GrantBatch,
    Held,
    Wanted,
)

if TYPE_CHECKING:
    from celerywharf.admissions._part import Admissions

IMMEDIATE_ANSWER_TIMEOUT_S = 0.5
QUEUED_ANSWER_GRACE_S = 1.0  # after the deadline of a queued request

Reply = int | Rejected


@dataclass(slots=True)
class GrantRequest:
    """A pending grant request or, once granted, the held grant.

    Attributes:
        backend: the backend server that the grant is for.
        client_account: name of the account that pays.
        inner: address of the owner that was last asked.
        reply: its result is the grant's number, or the refusal.
    """

    backend: BackendServer
    client_account: str
    inner: Address
    reply: asyncio.Future[Reply]


class GrantRequests:
    """Sends grant requests, renewals and returns to the owners.

    Items for one owner within a turn of the event loop share one message.

    Attributes:
        requests: by number; those whose reply is done are held grants.
        owners: addresses of owners in other zones, by backend server, taken
            from their answers.
    """

    def __init__(self, admissions: Admissions) -> None:
        self.admissions = admissions
        self.host = admissions.host
        self.requests: dict[int, GrantRequest] = {}
        self.owners: dict[str, Address] = {}
        self.outbox: dict[Address, Batch] = {}
        self.scheduled = False

    async def request_grant(
        self,
        action: RequestGrant,
        demand: Demand,
        deadline_s: float,
    ) -> Reply:
        """Send a grant request to an owner and wait for the answer.

        Returns the grant's number or the refusal.  An owner that does not
        answer in time counts as unreachable, and the request is withdrawn.
        """
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        number = next(self.admissions.numbers)
        remaining_s = max(0, deadline_s - self.host.timers.now())
        backend = action.backend_server
        inner = self.route(backend)
        reply = asyncio.get_running_loop().create_future()
        self.requests[number] = GrantRequest(
            backend, demand.client_account, inner, reply
        )
        wanted = Wanted(
            number=number,
            backend_server=backend.name,
            client_account=demand.client_account,
            priority=self.admissions.priority(demand.client_account),
            resume=demand.resume,
            deadline_s=remaining_s,
            may_wait=action.may_wait,
        )
        self._enqueue(inner, wanted)
        timeout_s = (
            remaining_s + QUEUED_ANSWER_GRACE_S
            if action.may_wait
            else IMMEDIATE_ANSWER_TIMEOUT_S
        )
        return await self._wait_for_reply(number, reply, timeout_s)

    def return_grant(self, number: int, held_s: float) -> None:
        """Return a grant or withdraw a pending request."""
        request = self.requests.pop(number, None)
        if request is not None:
            name = request.backend.name
            inner = self.route(request.backend)
            self._enqueue(inner, GivenBack(number, name, held_s))

    def renew(self) -> None:
        """Queue a renewal of the lease of each held grant."""
        for number, request in self.requests.items():
            if request.reply.done():
                self._renew(number, request)

    def handle_answer(self, answer: GrantAnswer, sender: Sender | None) -> None:
        """Complete a pending request with the owner's answer.

        Also stores the address of the owner that answered.
        """
        request = self.requests.get(answer.number)
        if request is None:
            return
        if sender is not None:
            self.owners[request.backend.name] = sender.inner
            request.inner = sender.inner
        if answer.granted:
            self._resolve(request, answer.number)
            return
        reason = Refusal(answer.reason)
        if reason is Refusal.not_owner:
            self.owners.pop(request.backend.name, None)
        self._resolve(
            request,
            Rejected(
                request.backend.name,
                reason,
                answer.wait_s,
                answer.retry_after_s,
            ),
        )

    def on_peer_change(self, peer: Peer, alive: bool) -> None:
        """Renew grants whose owner changed and fail requests to a dead owner.

        Failed requests are refused as unreachable, so that the search sends
        them again.
        """
        unavailable = peer.leaving or not alive
        if unavailable:
            self._forget_owner(peer.inner)
        for number, request in tuple(self.requests.items()):
            if request.reply.done():
                if self.route(request.backend) != request.inner:
                    self._renew(number, request)
            elif request.inner == peer.inner and not alive:
                self._resolve_unreachable(request)

    def route(self, backend: BackendServer) -> Address:
        """Return the address to send messages about a backend server to.

        In another zone this is the owner that answered last, if any.
        """
        address = self.owners.get(backend.name)
        own_zone = self.host.identity.availability_zone
        if address is not None and backend.availability_zone != own_zone:
            return address
        return self.admissions.owners.owner(backend).inner

    async def _wait_for_reply(
        self,
        number: int,
        reply: asyncio.Future[Reply],
        timeout_s: float,
    ) -> Reply:
        request = self.requests[number]
        try:
            async with asyncio.timeout(timeout_s):
                answer = await reply
        except TimeoutError:
            self.return_grant(number, 0)
            return Rejected(request.backend.name, Refusal.unreachable)
        except asyncio.CancelledError:
            self.return_grant(number, 0)
            raise
        if isinstance(answer, Rejected):
            self.requests.pop(number, None)
        return answer

    def _renew(self, number: int, request: GrantRequest) -> None:
        request.inner = self.route(request.backend)
        held = Held(number, request.backend.name, request.client_account)
        self._enqueue(request.inner, held)

    def _forget_owner(self, inner: Address) -> None:
        self.owners = {
            name: address
            for name, address in self.owners.items()
            if address != inner
        }

    def _resolve(self, request: GrantRequest, reply: Reply) -> None:
        if not request.reply.done():
            request.reply.set_result(reply)

    def _resolve_unreachable(self, request: GrantRequest) -> None:
        rejected = Rejected(request.backend.name, Refusal.unreachable)
        self._resolve(request, rejected)

    def _enqueue(self, inner: Address, item: Wanted | Held | GivenBack) -> None:
        self.outbox.setdefault(inner, Batch()).add(item)
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.scheduled = False
        outbox = self.outbox
        self.outbox = {}
        identity = self.host.identity
        for inner, batch in outbox.items():
            message = GrantBatch(
                identity.name,
                identity.incarnation,
                str(identity.inner),
                forwarded=False,
                wanted=batch.wanted,
                held=batch.held,
                given_back=batch.given_back,
            )
            if inner == identity.inner:
                self.admissions.owners.grant_service.handle_batch(None, message)
            else:
                self.admissions.spawn(self._send(inner, message))

    async def _send(self, inner: Address, message: GrantBatch) -> None:
        try:
            await self.host.links.request(inner, message)
        except CelerywharfError:
            self._forget_owner(inner)
            for wanted in message.wanted:
                request = self.requests.get(wanted.number)
                if request is not None:
                    self._resolve_unreachable(request)
