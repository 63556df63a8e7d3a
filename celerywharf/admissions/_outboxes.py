"""Batches the messages between holders and owners of backend servers.

What is queued within one turn of the event loop is sent as one message.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from celerywharf.admissions.tickets import Returned, TicketId
from celerywharf.exceptions import CelerywharfError
from celerywharf.structures import Address
from celerywharf.wire.admissions import (
    GivenBack,
    GrantAnswer,
    GrantAnswers,
    GrantBatch,
    Held,
    Summary,
    Wanted,
)

if TYPE_CHECKING:
    from celerywharf.admissions._owners import Owners

HOLDER_ADDRESS_LIMIT = 4096  # least recently seen holders are evicted
ANSWER_ATTEMPTS = 2

Holder = tuple[str, int]


@dataclass(slots=True)
class Batch:
    """Grant requests, renewals and returns for one owner."""

    wanted: list[Wanted] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)
    given_back: list[GivenBack] = field(default_factory=list)

    def add(self, item: Wanted | Held | GivenBack) -> None:
        """Append an item to the list for its kind."""
        match item:
            case Wanted():
                self.wanted.append(item)
            case Held():
                self.held.append(item)
            case GivenBack():
                self.given_back.append(item)

    def message(self, original: GrantBatch) -> GrantBatch:
        """Build a message that forwards these items of ``original``."""
        return GrantBatch(
            original.holder,
            original.incarnation,
            original.inner,
            forwarded=True,
            wanted=self.wanted,
            held=self.held,
            given_back=self.given_back,
        )


@dataclass(frozen=True, slots=True)
class Pending:
    """A queued answer to a ticket."""

    ticket_id: TicketId
    backend_server: str
    answer: GrantAnswer


class AnswerOutbox:
    """Sends an owner's answers, one message for each holder and loop turn."""

    def __init__(self, owners: Owners) -> None:
        self.owners = owners
        self.addresses: OrderedDict[Holder, Address] = OrderedDict()
        self.pending: dict[Holder, list[Pending]] = {}
        self.summaries: dict[Holder, dict[str, Summary]] = {}
        self.scheduled = False

    def update_address(self, batch: GrantBatch) -> None:
        """Store the address at which a holder receives answers."""
        holder = (batch.holder, batch.incarnation)
        self.addresses[holder] = Address.parse(batch.inner)
        self.addresses.move_to_end(holder)
        while len(self.addresses) > HOLDER_ADDRESS_LIMIT:
            self.addresses.popitem(last=False)

    def add(self, pending: Pending, summary: Summary | None) -> None:
        """Queue an answer until the next turn of the event loop."""
        ticket_id = pending.ticket_id
        holder = (ticket_id.holder, ticket_id.incarnation)
        self.pending.setdefault(holder, []).append(pending)
        if summary is not None:
            summaries = self.summaries.setdefault(holder, {})
            summaries[summary.backend_server] = summary
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def forward(self, inner: str, message: GrantBatch) -> None:
        """Send a batch to the owner without waiting for a response."""
        self.owners.host.links.send(Address.parse(inner), message)

    def _flush(self) -> None:
        self.scheduled = False
        for holder, pending in self.pending.items():
            message = GrantAnswers(
                self.owners.host.identity.name,
                [entry.answer for entry in pending],
                list(self.summaries.get(holder, {}).values()),
            )
            self._deliver(holder, message, pending)
        self.pending = {}
        self.summaries = {}

    def _deliver(
        self,
        holder: Holder,
        message: GrantAnswers,
        pending: list[Pending],
    ) -> None:
        host = self.owners.host
        if holder == (host.identity.name, host.identity.incarnation):
            host.admissions.handle_answers(None, message)
            return
        address = self.addresses.get(holder)
        if address is not None:
            self.owners.spawn(self._send_answers(address, message, pending))

    async def _send_answers(
        self,
        address: Address,
        message: GrantAnswers,
        pending: list[Pending],
    ) -> None:
        for _ in range(ANSWER_ATTEMPTS):
            try:
                await self.owners.host.links.request(address, message)
            except CelerywharfError:
                continue
            return
        # The holder did not receive its grants: free their slots.
        for entry in pending:
            if entry.answer.granted:
                returned = Returned(entry.ticket_id, 0)
                self.owners.decide(entry.backend_server, returned)
