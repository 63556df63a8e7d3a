"""Batches of messages between holders and owners, one a loop turn."""

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

HOLDER_LIMIT = 4096
ANSWER_TRIES = 2

Holder = tuple[str, int]


@dataclass(slots=True)
class Batch:
    """Items on their way to one owner."""

    wanted: list[Wanted] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)
    given_back: list[GivenBack] = field(default_factory=list)

    def add(self, item: Wanted | Held | GivenBack) -> None:
        """Add an item."""
        match item:
            case Wanted():
                self.wanted.append(item)
            case Held():
                self.held.append(item)
            case GivenBack():
                self.given_back.append(item)

    def message(self, holder: GrantBatch) -> GrantBatch:
        """Build the message that passes on what ``holder`` sent."""
        return GrantBatch(
            holder.holder,
            holder.incarnation,
            holder.inner,
            forwarded=True,
            wanted=self.wanted,
            held=self.held,
            given_back=self.given_back,
        )


@dataclass(frozen=True, slots=True)
class Pending:
    """An answer that waits to be sent."""

    ticket_id: TicketId
    backend_server: str
    answer: GrantAnswer


class AnswerOutbox:
    """Sends the answers of an owner to the holders."""

    def __init__(self, owners: Owners) -> None:
        self.owners = owners
        self.addresses: OrderedDict[Holder, Address] = OrderedDict()
        self.pending: dict[Holder, list[Pending]] = {}
        self.summaries: dict[Holder, dict[str, Summary]] = {}
        self.scheduled = False

    def learn(self, batch: GrantBatch) -> None:
        """Remember where a holder takes its answers."""
        holder = (batch.holder, batch.incarnation)
        self.addresses[holder] = Address.parse(batch.inner)
        self.addresses.move_to_end(holder)
        while len(self.addresses) > HOLDER_LIMIT:
            self.addresses.popitem(last=False)

    def add(self, pending: Pending, summary: Summary | None) -> None:
        """Queue an answer for the end of this loop turn."""
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
        """Pass a batch on to the owner."""
        self.owners.host.links.send(Address.parse(inner), message)

    def _flush(self) -> None:
        self.scheduled = False
        for holder, pending in self.pending.items():
            message = GrantAnswers(
                self.owners.host.identity.name,
                [one.answer for one in pending],
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
            host.admissions.serve_answers(None, message)
            return
        address = self.addresses.get(holder)
        if address is not None:
            self.owners.spawn(self._send(address, message, pending))

    async def _send(
        self,
        address: Address,
        message: GrantAnswers,
        pending: list[Pending],
    ) -> None:
        for _ in range(ANSWER_TRIES):
            try:
                await self.owners.host.links.request(address, message)
            except CelerywharfError:
                continue
            return
        # A holder that never hears of its grants must not keep the slots.
        for one in pending:
            if one.answer.granted:
                returned = Returned(one.ticket_id, 0)
                self.owners.decide(one.backend_server, returned)
