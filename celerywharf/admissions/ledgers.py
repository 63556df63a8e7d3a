"""Leases and received service of the accounts of one backend server."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from celerywharf.admissions.accounts import Account
from celerywharf.admissions.tickets import LoadReport, Ticket, TicketId
from celerywharf.tables import Share

LEASE_S = 3.0  # bounds how long limits are exceeded when an owner dies
SERVICE_CREDIT_S = 10.0  # most that an account can lag behind in service

ShareOf = Callable[[str], Share]


class Ledger:
    """The client accounts that use one backend server.

    Attributes:
        accounts: by name; those with running, waiting or recent work.
        charged_until_s: time up to which service has been charged.
    """

    def __init__(self, share_of: ShareOf, now: float) -> None:
        self.share_of = share_of
        self.accounts: dict[str, Account] = {}
        self.charged_until_s = now
        self.arrivals = itertools.count()

    def account(self, name: str) -> Account:
        """Return an account, created if needed, with its current share."""
        share = self.share_of(name)
        account = self.accounts.get(name)
        if account is None:
            account = Account(name, share.weight, share.limit)
            self.accounts[name] = account
        account.weight = share.weight
        account.limit = share.limit
        return account

    def active(self) -> list[Account]:
        """Return the accounts with running or waiting work."""
        return [account for account in self.accounts.values() if account.active]

    def charge_service(self, now: float) -> None:
        """Charge the time since the last call to accounts with running work."""
        elapsed_s = now - self.charged_until_s
        self.charged_until_s = now
        active = self.active()
        for account in active:
            account.received_service += (
                elapsed_s * len(account.running) / account.weight
            )
        highest = max((one.received_service for one in active), default=0)
        # An account that was idle or at its limit for long must not build up
        # a credit that lets it take all slots afterwards.
        for account in self.accounts.values():
            account.received_service = max(
                account.received_service, highest - SERVICE_CREDIT_S
            )

    def enqueue(self, ticket: Ticket) -> Account:
        """Queue a ticket.

        An account that was idle starts with at least the lowest received
        service of the active accounts.
        """
        account = self.account(ticket.client_account)
        if not account.active:
            lowest = min(
                (one.received_service for one in self.active()), default=0
            )
            account.received_service = max(account.received_service, lowest)
        account.enqueue(ticket, next(self.arrivals))
        return account

    def grant(self, ticket: Ticket, now: float) -> None:
        """Start the lease of a ticket."""
        self.renew(ticket.id, ticket.client_account, now)

    def renew(
        self,
        ticket_id: TicketId,
        client_account: str,
        now: float,
    ) -> None:
        """Extend the lease of a ticket, which may be unknown here.

        A new owner rebuilds its running tickets from renewals.
        """
        account = self.account(client_account)
        account.discard(ticket_id)
        account.running[ticket_id] = now + LEASE_S
        account.record_running(now)

    def remove(self, ticket_id: TicketId, now: float) -> bool:
        """Remove a ticket; return whether it was running."""
        for account in self.accounts.values():
            if account.running.pop(ticket_id, None) is not None:
                account.record_running(now)
                return True
            if account.discard(ticket_id):
                return False
        return False

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Update the unexplained requests of each account from a report."""
        for name in report.by_account:
            self.account(name)
        measured_s = now - report.age_s
        for account in self.accounts.values():
            running = report.by_account.get(account.name, 0)
            explained = account.peak_running_near(measured_s)
            account.update_unexplained(max(0, running - explained))

    def expire(self, now: float) -> None:
        """Drop expired leases and evict accounts that were idle for long."""
        for account in tuple(self.accounts.values()):
            account.expire(now)
            if not (account.active or account.unexplained):
                self._evict_idle(account)

    def _evict_idle(self, account: Account) -> None:
        highest = max(one.received_service for one in self.accounts.values())
        if (
            account.received_service <= highest - SERVICE_CREDIT_S
            or len(self.accounts) == 1
        ):
            self.accounts.pop(account.name)
