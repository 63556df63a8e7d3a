"""Obtains grants for the requests that arrive at this host."""

from __future__ import annotations

import asyncio
import itertools
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.admissions._grant_requests import GrantRequests
from celerywharf.admissions._owners import Owners
from celerywharf.admissions.demands import Demand, Grant, Outcome
from celerywharf.admissions.searches import GiveUp, RequestGrant, Search
from celerywharf.admissions.selection import BackendSelector
from celerywharf.admissions.tickets import Refusal
from celerywharf.backends.outliers import Outliers
from celerywharf.exceptions import (
    CelerywharfError,
    LimitReachedError,
    NoBackendServerError,
    OverloadedError,
    ShuttingDownError,
)
from celerywharf.tables import BackendServer
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.admissions import GrantAnswers, PrefixQuery

if TYPE_CHECKING:
    from celerywharf.hosts import Host

RETRY_AFTER_S = 1.0
RENEW_INTERVAL_S = 1.0  # a third of the lease time
PREFIX_QUERY_TIMEOUT_S = 0.05
PREFIX_QUERY_BACKEND_LIMIT = 16


class RenewLeases:
    """Timer message: renew the leases of held grants."""


class Admissions(Part):
    """Requests grants from the owners of backend servers and renews them.

    Attributes:
        owners: the queues of the backend servers that this host owns.
        grant_requests: pending grant requests and held grants.
        selector: ranks the backend servers for a request.
        outliers: ejects backend servers that fail or are slow.
        grants: held grants with their times, by number.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.rng = Random(f'{host.identity.name}:{host.identity.incarnation}')
        self.owners = Owners(host)
        self.grant_requests = GrantRequests(self)
        self.selector = BackendSelector(host.identity, self.rng)
        self.outliers = Outliers()
        self.grants: dict[int, tuple[Grant, float]] = {}
        self.numbers = itertools.count(1)
        host.links.subscribe(GrantAnswers, self.handle_answers)

    def start(self) -> None:
        """Start lease renewal and ownership tracking."""
        super().start()
        self.owners.start()
        self.host.membership.on_change(self.grant_requests.on_peer_change)
        self.host.timers.every(RENEW_INTERVAL_S, self.post, RenewLeases())

    async def stop(self) -> None:
        """Stop without returning grants; their leases expire at the owners."""
        await self.owners.stop()
        await super().stop()

    def handle(self, message: Any) -> None:
        """Renew the leases of held grants."""
        if isinstance(message, RenewLeases):
            self.grant_requests.renew()

    async def admit(self, demand: Demand) -> Grant:
        """Wait for a grant to run a request.

        Raises:
            NoBackendServerError: no backend server of the service is allowed
                or can be reached.
            LimitReachedError: the client account has reached its limit.
            OverloadedError: no slot becomes free within the deadline.
            ShuttingDownError: this host is leaving; resumed work is admitted.
        """
        if self.host.leaving and not demand.resume:
            raise ShuttingDownError('this host is leaving')
        began_s = self.host.timers.now()
        search = await self._search(demand)
        action = search.start(self.host.timers.now())
        while isinstance(action, RequestGrant):
            reply = await self.grant_requests.request_grant(
                action, demand, search.deadline_s
            )
            now = self.host.timers.now()
            if isinstance(reply, int):
                self.host.metrics.observe('admission_wait', now - began_s)
                return self._record_grant(reply, action.backend_server, demand)
            action = search.rejected(reply, now)
        raise _error(action, demand)

    def release(
        self,
        grant: Grant,
        outcome: Outcome,
        first_answer_s: float | None = None,
    ) -> None:
        """Return a grant when its work has ended; safe to call again.

        Args:
            grant: what ``admit`` returned.
            outcome: how the work ended.
            first_answer_s: seconds to the first byte or token; None if none
                arrived.
        """
        _, granted_s = self.grants.pop(grant.number, (grant, None))
        if granted_s is None:
            return
        name = grant.backend_server.name
        now = self.host.timers.now()
        useful = outcome is not Outcome.failed
        self.grant_requests.return_grant(
            grant.number, now - granted_s if useful else 0
        )
        self.selector.ended(name)
        self.outliers.ended(name)
        if outcome is Outcome.finished:
            self.outliers.succeeded(name)
        if first_answer_s is not None:
            slow = self.outliers.answered(name, first_answer_s, now)
            self._record_ejection(name, 'slow', ejected=slow)

    def report_failure(self, backend_server: str, kind: str) -> None:
        """Count a failure against a backend server, which may be ejected.

        Args:
            backend_server: its name.
            kind: cause of the failure, such as ``reset`` or ``silent``.
        """
        now = self.host.timers.now()
        ejected = self.outliers.failed(backend_server, now)
        self._record_ejection(backend_server, kind, ejected=ejected)

    def handle_answers(
        self,
        sender: Sender | None,
        message: GrantAnswers,
    ) -> None:
        """Apply load summaries and answers sent by an owner."""
        now = self.host.timers.now()
        for summary in message.summaries:
            self.selector.update_load(summary, now)
        for answer in message.answers:
            self.grant_requests.handle_answer(answer, sender)

    async def _search(self, demand: Demand) -> Search:
        allowed = self._allowed(demand)
        if not allowed:
            raise NoBackendServerError(
                f'no backend server for {demand.service}',
                retry_after_s=RETRY_AFTER_S,
            )
        now = self.host.timers.now()
        holders: frozenset[str] = frozenset()
        if demand.resume and demand.prefix_hash and len(allowed) > 1:
            holders = await self._prefix_holders(allowed, demand.prefix_hash)
        candidates = self.selector.rank(
            allowed, demand.prefix_hash, holders, now
        )
        return Search(candidates, now + demand.deadline_s)

    async def _prefix_holders(
        self,
        allowed: list[BackendServer],
        prefix_hash: str,
    ) -> frozenset[str]:
        by_owner: dict[Any, list[str]] = {}
        for backend in allowed[:PREFIX_QUERY_BACKEND_LIMIT]:
            if backend.region == self.host.identity.region:
                inner = self.grant_requests.route(backend)
                by_owner.setdefault(inner, []).append(backend.name)
        found = await asyncio.gather(
            *(
                self._query_prefix_holders(
                    inner, PrefixQuery(prefix_hash, names)
                )
                for inner, names in by_owner.items()
            ),
        )
        return frozenset(itertools.chain.from_iterable(found))

    async def _query_prefix_holders(
        self, inner: Any, query: PrefixQuery
    ) -> list[str]:
        if inner == self.host.identity.inner:
            return self.owners.grant_service.handle_prefix_query(
                None, query
            ).backend_servers
        try:
            answer = await self.host.links.request(
                inner,
                query,
                PREFIX_QUERY_TIMEOUT_S,
            )
        except CelerywharfError:
            return []
        return answer.backend_servers

    def _allowed(self, demand: Demand) -> list[BackendServer]:
        now = self.host.timers.now()
        reachable = [
            backend
            for backend in self.host.catalogue.backends_of(demand.service)
            if backend.name not in demand.exclude
            and not self.host.membership.notices.is_leaving(backend.name)
            and self._is_region_allowed(backend, demand)
        ]
        healthy = [
            backend
            for backend in reachable
            if self.outliers.usable(backend.name, now)
        ]
        return healthy or reachable

    def _is_region_allowed(
        self, backend: BackendServer, demand: Demand
    ) -> bool:
        if backend.region == self.host.identity.region:
            return True
        share = self.host.catalogue.share_of(
            backend.name,
            demand.client_account,
        )
        return share.cross_region

    def _record_grant(
        self,
        number: int,
        backend: BackendServer,
        demand: Demand,
    ) -> Grant:
        account = demand.client_account
        grant = Grant(number, backend, account, self.priority(account))
        self.grants[number] = (grant, self.host.timers.now())
        self.selector.started(backend.name, demand.prefix_hash)
        self.outliers.started(backend.name)
        if backend.region != self.host.identity.region:
            self.host.metrics.count(
                'cross_region_grants',
                client_account=account,
            )
        return grant

    def priority(self, client_account: str) -> int:
        """Return the priority of a client account, 0 if it is unknown."""
        account = self.host.catalogue.client_accounts.get(client_account)
        return account.priority if account else 0

    def _record_ejection(self, name: str, kind: str, *, ejected: bool) -> None:
        if ejected:
            self.host.recorder.record(
                'backend_ejected',
                backend_server=name,
                kind=kind,
            )


def _error(action: GiveUp, demand: Demand) -> CelerywharfError:
    retry_after_s = action.retry_after_s
    match action.reason:
        case Refusal.limit:
            return LimitReachedError(
                f'{demand.client_account} has reached its limit',
                retry_after_s=retry_after_s,
            )
        case Refusal.unreachable:
            return NoBackendServerError(
                f'no backend server of {demand.service} can be reached',
                retry_after_s=retry_after_s,
            )
    return OverloadedError(
        f'{demand.service} has no free slot within {demand.deadline_s:g} s',
        retry_after_s=retry_after_s,
    )
