"""Handles grant messages for the backend servers owned by this host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from celerywharf.admissions._outboxes import AnswerOutbox, Batch, Pending
from celerywharf.admissions.ledgers import LEASE_S
from celerywharf.admissions.tickets import (
    Action,
    Granted,
    Refusal,
    Refused,
    Renewed,
    Returned,
    Ticket,
    TicketId,
)
from celerywharf.wire import Sender
from celerywharf.wire.admissions import (
    GivenBack,
    GrantAnswer,
    GrantBatch,
    Held,
    PrefixAnswer,
    PrefixQuery,
    Summary,
    Wanted,
)

if TYPE_CHECKING:
    from celerywharf.admissions._owners import OwnedBackend, Owners

Item = Wanted | Held | GivenBack


class GrantService:
    """Passes holders' messages to the queues and sends back the answers.

    A holder is a host that requests or holds grants.  Messages about a
    backend server with another owner are forwarded once at most, so that two
    hosts that disagree about the owner cannot forward them in a circle.
    """

    def __init__(self, owners: Owners) -> None:
        self.owners = owners
        self.host = owners.host
        self.outbox = AnswerOutbox(owners)
        self.host.links.subscribe(GrantBatch, self.handle_batch)
        self.host.links.subscribe(PrefixQuery, self.handle_prefix_query)

    def handle_batch(self, sender: Sender | None, batch: GrantBatch) -> None:
        """Apply a holder's grant requests, renewals and returns.

        Returns are applied first, so that their slots are free for the
        requests.
        """
        self.outbox.update_address(batch)
        forwards: dict[str, Batch] = {}
        for item in (*batch.given_back, *batch.held, *batch.wanted):
            if item.backend_server in self.owners.owned:
                self._apply(batch, item)
            else:
                self._forward_or_refuse(batch, item, forwards)
        for inner, forwarded in forwards.items():
            self.outbox.forward(inner, forwarded.message(batch))

    def handle_prefix_query(
        self,
        sender: Sender | None,
        message: PrefixQuery,
    ) -> PrefixAnswer:
        """Return the owned backend servers that probably cache a prefix."""
        holders = [
            name
            for name in message.backend_servers
            if self.owners.holds_prefix(name, message.prefix_hash)
        ]
        return PrefixAnswer(holders)

    def send_answer(self, owned: OwnedBackend, action: Action) -> None:
        """Queue an answer to the holder for a decision about its ticket."""
        ticket_id = action.ticket.id
        match action:
            case Granted():
                answer = GrantAnswer(
                    ticket_id.number,
                    granted=True,
                    reason=Refusal.none.value,
                    wait_s=0,
                    retry_after_s=0,
                )
            case Refused():
                answer = GrantAnswer(
                    ticket_id.number,
                    granted=False,
                    reason=action.reason.value,
                    wait_s=action.wait_s,
                    retry_after_s=action.retry_after_s,
                )
        pending = Pending(ticket_id, owned.backend.name, answer)
        self.outbox.add(pending, self.summary(owned))

    def summary(self, owned: OwnedBackend) -> Summary:
        """Build the load summary of an owned backend server."""
        queue = owned.queue
        return Summary(
            owned.backend.name,
            queue.running,
            queue.waiting,
            int(queue.load.usable(self.host.timers.now())),
        )

    def _apply(self, batch: GrantBatch, item: Item) -> None:
        ticket_id = TicketId(batch.holder, batch.incarnation, item.number)
        name = item.backend_server
        match item:
            case Wanted() if not self.owners.accepts_work(name):
                self._refuse(ticket_id, name, Refusal.leaving)
            case Wanted():
                self.owners.decide(name, self._ticket(ticket_id, item))
            case Held():
                self.owners.decide(
                    name, Renewed(ticket_id, item.client_account)
                )
            case GivenBack():
                self.owners.decide(name, Returned(ticket_id, item.held_s))

    def _ticket(self, ticket_id: TicketId, wanted: Wanted) -> Ticket:
        return Ticket(
            id=ticket_id,
            client_account=wanted.client_account,
            priority=wanted.priority,
            resume=wanted.resume,
            deadline_s=self.host.timers.now() + wanted.deadline_s,
            may_wait=wanted.may_wait,
        )

    def _forward_or_refuse(
        self,
        batch: GrantBatch,
        item: Item,
        forwards: dict[str, Batch],
    ) -> None:
        backend = self.owners.backend(item.backend_server)
        owner = None if backend is None else self.owners.owner(backend)
        remote = owner is not None and owner.name != self.host.identity.name
        if remote and not batch.forwarded:
            forwards.setdefault(str(owner.inner), Batch()).add(item)
        elif isinstance(item, Wanted):
            ticket_id = TicketId(batch.holder, batch.incarnation, item.number)
            self._refuse(ticket_id, item.backend_server, Refusal.not_owner)

    def _refuse(
        self,
        ticket_id: TicketId,
        backend_server: str,
        reason: Refusal,
    ) -> None:
        answer = GrantAnswer(
            ticket_id.number,
            granted=False,
            reason=reason.value,
            wait_s=math.inf,
            retry_after_s=LEASE_S,
        )
        self.outbox.add(Pending(ticket_id, backend_server, answer), None)
