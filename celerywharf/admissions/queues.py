"""The weighted fair queue of one backend server, run by its owner.

Slots are shared by weight.  An account below its fair share of the capacity
is granted slots first.  Unused slots go to the accounts with the least
received service for their weight.  A slot that was lent this way is not lent
again once an account below its fair share has work waiting.
"""

from __future__ import annotations

import math

from celerywharf.admissions.accounts import Account
from celerywharf.admissions.ledgers import LEASE_S, Ledger, ShareOf
from celerywharf.admissions.loads import LoadView
from celerywharf.admissions.tickets import (
    Action,
    AdmissionStopped,
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
from celerywharf.waiting import DrainRate

REBUILD_WAIT_S = 0.5  # time for the holders to renew at a new owner
QUEUE_LIMIT_TICKETS = 1000


class BackendQueue:
    """Grants slots of one backend server to client accounts.

    Its state need not be stored: after a change of owner it is rebuilt from
    the holders' renewals and the engine's own report.

    Attributes:
        ledger: client accounts with their running and waiting work.
        load: usable capacity from the engine's reports.
        drain: average time that requests hold a slot.
        grants_start_s: time of the first grants; only renewals count before.
    """

    def __init__(self, share_of: ShareOf, load: LoadView) -> None:
        self.ledger = Ledger(share_of, load.started_s)
        self.load = load
        self.drain = DrainRate()
        self.grants_start_s = load.started_s + REBUILD_WAIT_S

    @property
    def running(self) -> int:
        """Return the number of grants held under a lease."""
        accounts = self.ledger.accounts.values()
        return sum(len(account.running) for account in accounts)

    @property
    def waiting(self) -> int:
        """Return the number of queued tickets."""
        accounts = self.ledger.accounts.values()
        return sum(len(account.waiting) for account in accounts)

    def decide(self, message: Message, now: float) -> list[Action]:
        """Apply a message and return the resulting grants and refusals.

        Args:
            message: what happened.
            now: monotonic seconds.
        """
        self.ledger.charge_service(now)
        match message:
            case Ticket():
                return self._enqueue(message, now)
            case Returned(ticket_id, held_s):
                if self.ledger.remove(ticket_id, now) and held_s:
                    self.drain.record_hold(held_s)
            case Renewed(ticket_id, client_account):
                self.ledger.renew(ticket_id, client_account, now)
            case LoadReport():
                self.load.apply(message, now)
                self.ledger.apply_report(message, now)
            case Tick():
                return self._tick(now)
            case AdmissionStopped(reason):
                return self._refuse_waiting(reason)
        return self._grant_all(now)

    def expected_slots(self, account: Account, now: float) -> float:
        """Return the slots that an account can expect, at least 1."""
        fair_share = self._fair_share(account, now)
        return max(1, min(fair_share, account.limit))

    def wait_s(self, client_account: str, now: float) -> float:
        """Estimate the seconds that a new ticket of an account would wait."""
        account = self.ledger.account(client_account)
        slots = self.expected_slots(account, now)
        return self.drain.wait_s(len(account.waiting), slots)

    def _enqueue(self, ticket: Ticket, now: float) -> list[Action]:
        account = self.ledger.enqueue(ticket)
        actions = self._grant_all(now)
        position = account.position_of(ticket.id)
        if position is None:
            return actions
        slots = self.expected_slots(account, now)
        upper_bound_s = self.drain.wait_upper_bound_s(position, slots)
        if account.limit < 1 or self._must_refuse(ticket, upper_bound_s, now):
            account.discard(ticket.id)
            actions.append(self._refused(account, ticket, upper_bound_s, now))
        return actions

    def _tick(self, now: float) -> list[Action]:
        self.ledger.expire(now)
        actions = self._grant_all(now)
        for account in self.ledger.accounts.values():
            actions.extend(self._refuse_overdue(account, now))
        return actions

    def _refuse_overdue(self, account: Account, now: float) -> list[Action]:
        # Estimates change: a queued ticket is refused only when even the lower
        # bound of its wait misses the deadline.
        actions: list[Action] = []
        kept = []
        slots = self.expected_slots(account, now)
        for sort_key, ticket in account.waiting:
            lower_bound_s = self.drain.wait_lower_bound_s(len(kept), slots)
            if self._must_refuse(ticket, lower_bound_s, now):
                wait_s = self.drain.wait_s(len(kept), slots)
                actions.append(self._refused(account, ticket, wait_s, now))
            else:
                kept.append((sort_key, ticket))
        account.waiting = kept
        return actions

    def _refuse_waiting(self, reason: Refusal) -> list[Action]:
        actions: list[Action] = []
        for account in self.ledger.accounts.values():
            actions.extend(
                Refused(ticket, reason, math.inf, LEASE_S)
                for _, ticket in account.waiting
            )
            account.waiting.clear()
        return actions

    def _fair_share(self, account: Account, now: float) -> float:
        others = sum(
            other.weight
            for other in self.ledger.active()
            if other is not account
        )
        total = others + account.weight
        return self.load.usable(now) * account.weight / total

    def _free_slots(self, now: float) -> float:
        confidence = self.load.confidence(now)
        used_slots = sum(
            len(account.running) + account.unexplained * confidence
            for account in self.ledger.accounts.values()
        )
        return self.load.usable(now) - used_slots

    def _grant_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if now < self.grants_start_s:
            return actions
        while self._free_slots(now) >= 1:
            account = self._next_account(now)
            if account is None:
                break
            _, ticket = account.waiting.pop(0)
            self.ledger.grant(ticket, now)
            actions.append(Granted(ticket))
        return actions

    def _next_account(self, now: float) -> Account | None:
        accounts = self.ledger.accounts.values()
        eligible = [account for account in accounts if account.eligible]
        if not eligible:
            return None
        return min(
            eligible, key=lambda account: self._grant_order(account, now)
        )

    def _grant_order(self, account: Account, now: float) -> tuple:
        within_share = len(account.running) + 1 <= self._fair_share(
            account, now
        )
        # Running requests have half of their time left on average.  Counting
        # it in advance keeps slots that become free at the same time from all
        # going to one account.
        remaining_s = len(account.running) * self.drain.mean_held_s / 2
        received_service = (
            account.received_service + remaining_s / account.weight
        )
        return (
            not account.next_is_resume,
            not within_share,
            received_service,
            account.name,
        )

    def _must_refuse(self, ticket: Ticket, wait_s: float, now: float) -> bool:
        remaining_s = ticket.deadline_s - now
        if remaining_s <= 0 or not ticket.may_wait or self.load.silent(now):
            return True
        if ticket.resume:
            return False
        return wait_s > remaining_s or self.waiting > QUEUE_LIMIT_TICKETS

    def _refused(
        self,
        account: Account,
        ticket: Ticket,
        wait_s: float,
        now: float,
    ) -> Refused:
        if self.load.silent(now):
            return Refused(ticket, Refusal.unreachable, math.inf, LEASE_S)
        limited = account.used_slots + 1 > account.limit
        reason = Refusal.limit if limited else Refusal.overloaded
        if not ticket.may_wait:
            return Refused(ticket, reason, wait_s, wait_s)
        slots = self.expected_slots(account, now)
        overdue_s = max(0, wait_s - (ticket.deadline_s - now))
        requests_per_s = self.drain.requests_per_s(slots)
        retry_after_s = account.retry_schedule.retry_after_s(
            overdue_s, requests_per_s, now
        )
        return Refused(ticket, reason, wait_s, retry_after_s)
