"""What this host asked owners for, and the grants it holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.admissions._outboxes import Batch
from celerywharf.admissions.demands import Demand
from celerywharf.admissions.searches import Ask, Rejected
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

QUICK_ANSWER_S = 0.5
LATE_ANSWER_S = 1.0

Reply = int | Rejected


@dataclass(slots=True)
class Wish:
    """A wish under way, or a grant that is held.

    Attributes:
        backend: where the request would run or runs.
        client_account: who pays.
        inner: whom it was asked of last.
        reply: completed with the number when granted.
    """

    backend: BackendServer
    client_account: str
    inner: Address
    reply: asyncio.Future[Reply]


class Wishes:
    """Sends wishes, renewals and returns, batched by loop turn and owner.

    Attributes:
        wishes: by number; those whose reply is done are held grants.
        owners: owners in other zones, learnt from their answers.
    """

    def __init__(self, admissions: Admissions) -> None:
        self.admissions = admissions
        self.host = admissions.host
        self.wishes: dict[int, Wish] = {}
        self.owners: dict[str, Address] = {}
        self.outbox: dict[Address, Batch] = {}
        self.scheduled = False

    async def ask(
        self,
        action: Ask,
        demand: Demand,
        deadline_s: float,
    ) -> Reply:
        """Ask an owner; return the grant's number or the refusal."""
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        number = next(self.admissions.numbers)
        left_s = max(0, deadline_s - self.host.timers.now())
        backend = action.backend_server
        inner = self.route(backend)
        reply = asyncio.get_running_loop().create_future()
        self.wishes[number] = Wish(backend, demand.client_account, inner, reply)
        wanted = Wanted(
            number=number,
            backend_server=backend.name,
            client_account=demand.client_account,
            priority=self.admissions.priority(demand.client_account),
            resume=demand.resume,
            deadline_s=left_s,
            may_wait=action.may_wait,
        )
        self._put(inner, wanted)
        limit_s = left_s + LATE_ANSWER_S if action.may_wait else QUICK_ANSWER_S
        return await self._wait(number, reply, limit_s)

    def give_back(self, number: int, held_s: float) -> None:
        """Return a grant or withdraw a wish."""
        wish = self.wishes.pop(number, None)
        if wish is not None:
            name = wish.backend.name
            inner = self.route(wish.backend)
            self._put(inner, GivenBack(number, name, held_s))

    def renew(self) -> None:
        """Renew the lease of each held grant."""
        for number, wish in self.wishes.items():
            if wish.reply.done():
                self._renew(number, wish)

    def answered(self, answer: GrantAnswer, sender: Sender | None) -> None:
        """Take an owner's answer to a wish."""
        wish = self.wishes.get(answer.number)
        if wish is None:
            return
        if sender is not None:
            self.owners[wish.backend.name] = sender.inner
            wish.inner = sender.inner
        if answer.granted:
            self._resolve(wish, answer.number)
            return
        reason = Refusal(answer.reason)
        if reason is Refusal.not_owner:
            self.owners.pop(wish.backend.name, None)
        self._resolve(
            wish,
            Rejected(
                wish.backend.name,
                reason,
                answer.wait_s,
                answer.retry_after_s,
            ),
        )

    def on_peer(self, peer: Peer, alive: bool) -> None:
        """Ask anew, and renew at once, where an owner may have changed."""
        gone = peer.leaving or not alive
        if gone:
            self._forget_owner(peer.inner)
        for number, wish in tuple(self.wishes.items()):
            if wish.reply.done():
                if self.route(wish.backend) != wish.inner:
                    self._renew(number, wish)
            elif wish.inner == peer.inner and not alive:
                self._unreached(wish)

    def route(self, backend: BackendServer) -> Address:
        """Return where the owner of a backend server is asked."""
        known = self.owners.get(backend.name)
        own_zone = self.host.identity.availability_zone
        if known is not None and backend.availability_zone != own_zone:
            return known
        return self.admissions.owners.owner(backend).inner

    async def _wait(
        self,
        number: int,
        reply: asyncio.Future[Reply],
        limit_s: float,
    ) -> Reply:
        wish = self.wishes[number]
        try:
            async with asyncio.timeout(limit_s):
                answer = await reply
        except TimeoutError:
            self.give_back(number, 0)
            return Rejected(wish.backend.name, Refusal.unreachable)
        except asyncio.CancelledError:
            self.give_back(number, 0)
            raise
        if isinstance(answer, Rejected):
            self.wishes.pop(number, None)
        return answer

    def _renew(self, number: int, wish: Wish) -> None:
        wish.inner = self.route(wish.backend)
        held = Held(number, wish.backend.name, wish.client_account)
        self._put(wish.inner, held)

    def _forget_owner(self, inner: Address) -> None:
        self.owners = {
            name: known for name, known in self.owners.items() if known != inner
        }

    def _resolve(self, wish: Wish, reply: Reply) -> None:
        if not wish.reply.done():
            wish.reply.set_result(reply)

    def _unreached(self, wish: Wish) -> None:
        rejected = Rejected(wish.backend.name, Refusal.unreachable)
        self._resolve(wish, rejected)

    def _put(self, inner: Address, item: Wanted | Held | GivenBack) -> None:
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
                self.admissions.owners.desk.serve_batch(None, message)
            else:
                self.admissions.spawn(self._send(inner, message))

    async def _send(self, inner: Address, message: GrantBatch) -> None:
        try:
            await self.host.links.request(inner, message)
        except CelerywharfError:
            self._forget_owner(inner)
            for wanted in message.wanted:
                wish = self.wishes.get(wanted.number)
                if wish is not None:
                    self._unreached(wish)
