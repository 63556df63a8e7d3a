"""Who uses a backend server, and how much service each account received."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from celerywharf.admissions.accounts import Account
from celerywharf.admissions.tickets import LoadReport, Ticket, TicketId
from celerywharf.tables import Share

LEASE_S = 3.0
CREDIT_S = 10.0

ShareOf = Callable[[str], Share]


class Ledger:
    """The client accounts of one backend server.

    Attributes:
        accounts: those that run, wait or did lately, by name.
    """

    def __init__(self, share_of: ShareOf, now: float) -> None:
        self.share_of = share_of
        self.accounts: dict[str, Account] = {}
        self.served_s = now
        self.arrivals = itertools.count()

    def account(self, name: str) -> Account:
        """Return an account with the share that is in force now."""
        share = self.share_of(name)
        account = self.accounts.get(name)
        if account is None:
            account = Account(name, share.weight, share.limit)
            self.accounts[name] = account
        account.weight = share.weight
        account.limit = share.limit
        return account

    def active(self) -> list[Account]:
        """List the accounts that use or want anything."""
        return [one for one in self.accounts.values() if one.active]

    def serve(self, now: float) -> None:
        """Charge the time since the last call to those that run."""
        elapsed_s = now - self.served_s
        self.served_s = now
        active = self.active()
        for account in active:
            account.service += elapsed_s * len(account.running) / account.weight
        most = max((one.service for one in active), default=0)
        # Whoever did not ask for long, or may not use more, must not save
        # up a claim to everything.
        for account in self.accounts.values():
            account.service = max(account.service, most - CREDIT_S)

    def enqueue(self, ticket: Ticket) -> Account:
        """Queue a ticket; an account that was idle starts level."""
        account = self.account(ticket.client_account)
        if not account.active:
            least = min((one.service for one in self.active()), default=0)
            account.service = max(account.service, least)
        account.enqueue(ticket, next(self.arrivals))
        return account

    def lend(self, ticket: Ticket, now: float) -> None:
        """Note that a ticket runs until its lease ends."""
        self.renew(ticket.id, ticket.client_account, now)

    def renew(
        self,
        ticket_id: TicketId,
        client_account: str,
        now: float,
    ) -> None:
        """Extend the lease of a ticket, also of one not known here."""
        account = self.account(client_account)
        account.discard(ticket_id)
        account.running[ticket_id] = now + LEASE_S
        account.note_running(now)

    def take_back(self, ticket_id: TicketId, now: float) -> bool:
        """Forget a ticket; tell whether it was running."""
        for account in self.accounts.values():
            if account.running.pop(ticket_id, None) is not None:
                account.note_running(now)
                return True
            if account.discard(ticket_id):
                return False
        return False

    def reported(self, report: LoadReport, now: float) -> None:
        """Find running requests that no grant explains."""
        for name in report.by_account:
            self.account(name)
        made_s = now - report.age_s
        for account in self.accounts.values():
            running = report.by_account.get(account.name, 0)
            explained = account.peak_around(made_s)
            account.unexplained(max(0, running - explained))

    def expire(self, now: float) -> None:
        """Drop leases that ended and accounts idle for long."""
        for account in tuple(self.accounts.values()):
            account.expire(now)
            if not (account.active or account.foreign):
                self._forget_idle(account)

    def _forget_idle(self, account: Account) -> None:
        most = max(one.service for one in self.accounts.values())
        if account.service <= most - CREDIT_S or len(self.accounts) == 1:
            self.accounts.pop(account.name)
