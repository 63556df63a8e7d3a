"""The queue of one backend server, held by its owner.

Slots are shared by weight: an account below its part of the capacity goes
first, what is left over is lent to whoever had the least service for its
weight, and a lent slot is not lent again once its owner wants it.
"""

from __future__ import annotations

import math

from celerywharf.admissions.accounts import Account
from celerywharf.admissions.estimates import DrainRate
from celerywharf.admissions.ledgers import LEASE_S, Ledger, ShareOf
from celerywharf.admissions.loads import LoadView
from celerywharf.admissions.tickets import (
    Action,
    Dropped,
    Granted,
    LoadReport,
    Message,
    Refusal,
    Refused,
    Renewed,
    Returned,
    Tick,
    Ticket,
)

REBUILD_S = 0.5
QUEUE_LIMIT_TICKETS = 1000


class BackendQueue:
    """Grants slots of one backend server to client accounts.

    Everything in it can be lost: after a change of owner it is rebuilt from
    the holders' renewals and the engine's own report.

    Attributes:
        ledger: client accounts with what runs and waits.
        load: what the engine reports.
        drain: how long requests hold a slot.
        open_s: from when on grants are given; until then renewals come in.
    """

    def __init__(self, share_of: ShareOf, load: LoadView) -> None:
        self.ledger = Ledger(share_of, load.started_s)
        self.load = load
        self.drain = DrainRate()
        self.open_s = load.started_s + REBUILD_S

    @property
    def running(self) -> int:
        """Return how many grants are out."""
        accounts = self.ledger.accounts.values()
        return sum(len(account.running) for account in accounts)

    @property
    def waiting(self) -> int:
        """Return how many tickets are queued."""
        accounts = self.ledger.accounts.values()
        return sum(len(account.waiting) for account in accounts)

    def decide(self, message: Message, now: float) -> list[Action]:
        """Take a message at a monotonic time in seconds."""
        self.ledger.serve(now)
        match message:
            case Ticket():
                return self._take(message, now)
            case Returned(ticket_id, held_s):
                if self.ledger.take_back(ticket_id, now) and held_s:
                    self.drain.note(held_s)
            case Renewed(ticket_id, client_account):
                self.ledger.renew(ticket_id, client_account, now)
            case LoadReport():
                self.load.take(message, now)
                self.ledger.reported(message, now)
            case Tick():
                return self._tick(now)
            case Dropped(reason):
                return self._drop(reason)
        return self._grant_all(now)

    def slots_of(self, account: Account, now: float) -> float:
        """Return the slots that an account can count on."""
        part = self._part_of(account, now)
        return max(1, min(part, account.limit))

    def wait_s(self, client_account: str, now: float) -> float:
        """Estimate how long a new ticket of an account would wait."""
        account = self.ledger.account(client_account)
        slots = self.slots_of(account, now)
        return self.drain.wait_s(len(account.waiting), slots)

    def _take(self, ticket: Ticket, now: float) -> list[Action]:
        account = self.ledger.enqueue(ticket)
        actions = self._grant_all(now)
        place = account.place_of(ticket.id)
        if place is None:
            return actions
        slots = self.slots_of(account, now)
        longest_s = self.drain.longest_wait_s(place, slots)
        if account.limit < 1 or self._hopeless(ticket, longest_s, now):
            account.discard(ticket.id)
            actions.append(self._refused(account, ticket, longest_s, now))
        return actions

    def _tick(self, now: float) -> list[Action]:
        self.ledger.expire(now)
        actions = self._grant_all(now)
        for account in self.ledger.accounts.values():
            actions.extend(self._refuse_late(account, now))
        return actions

    def _refuse_late(self, account: Account, now: float) -> list[Action]:
        # Estimates move: who was let in is sent away only when it is sure.
        actions: list[Action] = []
        kept = []
        slots = self.slots_of(account, now)
        for order, ticket in account.waiting:
            shortest_s = self.drain.shortest_wait_s(len(kept), slots)
            if self._hopeless(ticket, shortest_s, now):
                wait_s = self.drain.wait_s(len(kept), slots)
                actions.append(self._refused(account, ticket, wait_s, now))
            else:
                kept.append((order, ticket))
        account.waiting = kept
        return actions

    def _drop(self, reason: Refusal) -> list[Action]:
        actions: list[Action] = []
        for account in self.ledger.accounts.values():
            actions.extend(
                Refused(ticket, reason, math.inf, LEASE_S)
                for _, ticket in account.waiting
            )
            account.waiting.clear()
        return actions

    def _part_of(self, account: Account, now: float) -> float:
        others = sum(
            one.weight for one in self.ledger.active() if one is not account
        )
        total = others + account.weight
        return self.load.usable(now) * account.weight / total

    def _free(self, now: float) -> float:
        trust = self.load.trust(now)
        used = sum(
            len(one.running) + one.foreign * trust
            for one in self.ledger.accounts.values()
        )
        return self.load.usable(now) - used

    def _grant_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if now < self.open_s:
            return actions
        while self._free(now) >= 1:
            account = self._next(now)
            if account is None:
                break
            _, ticket = account.waiting.pop(0)
            self.ledger.lend(ticket, now)
            actions.append(Granted(ticket))
        return actions

    def _next(self, now: float) -> Account | None:
        accounts = self.ledger.accounts.values()
        eligible = [one for one in accounts if one.eligible]
        if not eligible:
            return None
        return min(eligible, key=lambda account: self._turn(account, now))

    def _turn(self, account: Account, now: float) -> tuple:
        within = len(account.running) + 1 <= self._part_of(account, now)
        # Half of a request's time is still to come on average: counting it
        # keeps slots that come free together from going to one account.
        coming = len(account.running) * self.drain.held_s / 2
        service = account.service + coming / account.weight
        return not account.resumes, not within, service, account.name

    def _hopeless(self, ticket: Ticket, wait_s: float, now: float) -> bool:
        left_s = ticket.deadline_s - now
        if left_s <= 0 or not ticket.may_wait or self.load.silent(now):
            return True
        if ticket.resume:
            return False
        return wait_s > left_s or self.waiting > QUEUE_LIMIT_TICKETS

    def _refused(
        self,
        account: Account,
        ticket: Ticket,
        wait_s: float,
        now: float,
    ) -> Refused:
        if self.load.silent(now):
            return Refused(ticket, Refusal.unreachable, math.inf, LEASE_S)
        limited = account.used + 1 > account.limit
        reason = Refusal.limit if limited else Refusal.overloaded
        if not ticket.may_wait:
            return Refused(ticket, reason, wait_s, wait_s)
        slots = self.slots_of(account, now)
        late_s = max(0, wait_s - (ticket.deadline_s - now))
        rate = self.drain.rate(slots)
        again_s = account.promises.retry_after_s(late_s, rate, now)
        return Refused(ticket, reason, wait_s, again_s)
