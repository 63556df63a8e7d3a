"""The part that gets grants for the requests of this host."""

from __future__ import annotations

import asyncio
import itertools
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.admissions._owners import Owners
from celerywharf.admissions._wishes import Wishes
from celerywharf.admissions.choices import Chooser
from celerywharf.admissions.demands import Demand, Grant, Outcome
from celerywharf.admissions.searches import Ask, GiveUp, Search
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
RENEW_S = 1.0
PREFIX_QUERY_TIMEOUT_S = 0.05
PREFIX_QUERY_BACKENDS = 16


class Renew:
    """Timer message: renew what is held."""


class Admissions(Part):
    """Asks the owners of backend servers for grants and keeps them alive.

    Attributes:
        owners: the queues of the backend servers this host owns.
        wishes: what is asked for and what is held.
        outliers: backend servers not to use for a while.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.rng = Random(f'{host.identity.name}:{host.identity.incarnation}')
        self.owners = Owners(host)
        self.wishes = Wishes(self)
        self.chooser = Chooser(host.identity, self.rng)
        self.outliers = Outliers()
        self.grants: dict[int, tuple[Grant, float]] = {}
        self.numbers = itertools.count(1)
        host.links.subscribe(GrantAnswers, self.serve_answers)

    def start(self) -> None:
        """Begin to renew, and to own what belongs to this host."""
        super().start()
        self.owners.start()
        self.host.membership.on_change(self.wishes.on_peer)
        self.host.timers.every(RENEW_S, self.post, Renew())

    async def stop(self) -> None:
        """Stop at once; leases run out by themselves."""
        await self.owners.stop()
        await super().stop()

    def handle(self, message: Any) -> None:
        """Take a timer message."""
        if isinstance(message, Renew):
            self.wishes.renew()

    async def admit(self, demand: Demand) -> Grant:
        """Return a grant.

        Raises:
            NoBackendServerError: nothing allowed serves this service.
            LimitReachedError: the client account uses all it may.
            OverloadedError: no grant can be had within the deadline.
            ShuttingDownError: this host takes no new work.
        """
        if self.host.leaving and not demand.resume:
            raise ShuttingDownError('this host is leaving')
        began_s = self.host.timers.now()
        search = await self._search(demand)
        action = search.begin(self.host.timers.now())
        while isinstance(action, Ask):
            reply = await self.wishes.ask(action, demand, search.deadline_s)
            now = self.host.timers.now()
            if isinstance(reply, int):
                self.host.metrics.observe('admission_wait', now - began_s)
                return self._grant(reply, action.backend_server, demand)
            action = search.rejected(reply, now)
        raise _error(action, demand)

    def release(
        self,
        grant: Grant,
        outcome: Outcome,
        first_answer_s: float | None = None,
    ) -> None:
        """Give a grant back when its work ended; repeating it is harmless.

        Args:
            grant: what ``admit`` returned.
            outcome: how the work ended.
            first_answer_s: seconds to the first byte or token, if any came.
        """
        _, granted_s = self.grants.pop(grant.number, (grant, None))
        if granted_s is None:
            return
        name = grant.backend_server.name
        now = self.host.timers.now()
        useful = outcome is not Outcome.failed
        self.wishes.give_back(grant.number, now - granted_s if useful else 0)
        self.chooser.ended(name)
        self.outliers.ended(name)
        if outcome is Outcome.finished:
            self.outliers.succeeded(name)
        if first_answer_s is not None:
            slow = self.outliers.answered(name, first_answer_s, now)
            self._note_ejection(name, 'slow', ejected=slow)

    def report_failure(self, backend_server: str, kind: str) -> None:
        """Say that a backend server failed, such as ``reset``, ``silent``."""
        now = self.host.timers.now()
        ejected = self.outliers.failed(backend_server, now)
        self._note_ejection(backend_server, kind, ejected=ejected)

    def serve_answers(
        self,
        sender: Sender | None,
        message: GrantAnswers,
    ) -> None:
        """Take the answers of an owner."""
        now = self.host.timers.now()
        for summary in message.summaries:
            self.chooser.take(summary, now)
        for answer in message.answers:
            self.wishes.answered(answer, sender)

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
            holders = await self._holders(allowed, demand.prefix_hash)
        plan = self.chooser.plan(allowed, demand.prefix_hash, holders, now)
        return Search(plan, now + demand.deadline_s)

    async def _holders(
        self,
        allowed: list[BackendServer],
        prefix_hash: str,
    ) -> frozenset[str]:
        by_owner: dict[Any, list[str]] = {}
        for backend in allowed[:PREFIX_QUERY_BACKENDS]:
            if backend.region == self.host.identity.region:
                inner = self.wishes.route(backend)
                by_owner.setdefault(inner, []).append(backend.name)
        found = await asyncio.gather(
            *(
                self._ask_holders(inner, PrefixQuery(prefix_hash, names))
                for inner, names in by_owner.items()
            ),
        )
        return frozenset(itertools.chain.from_iterable(found))

    async def _ask_holders(self, inner: Any, query: PrefixQuery) -> list[str]:
        if inner == self.host.identity.inner:
            return self.owners.desk.serve_prefixes(None, query).backend_servers
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
            and self._may_reach(backend, demand)
        ]
        healthy = [
            backend
            for backend in reachable
            if self.outliers.usable(backend.name, now)
        ]
        return healthy or reachable

    def _may_reach(self, backend: BackendServer, demand: Demand) -> bool:
        if backend.region == self.host.identity.region:
            return True
        share = self.host.catalogue.share_of(
            backend.name,
            demand.client_account,
        )
        return share.cross_region

    def _grant(
        self,
        number: int,
        backend: BackendServer,
        demand: Demand,
    ) -> Grant:
        account = demand.client_account
        grant = Grant(number, backend, account, self.priority(account))
        self.grants[number] = (grant, self.host.timers.now())
        self.chooser.started(backend.name, demand.prefix_hash)
        self.outliers.started(backend.name)
        if backend.region != self.host.identity.region:
            self.host.metrics.count(
                'cross_region_grants',
                client_account=account,
            )
        return grant

    def priority(self, client_account: str) -> int:
        """Return the priority of an account, 0 when it is not known."""
        account = self.host.catalogue.client_accounts.get(client_account)
        return account.priority if account else 0

    def _note_ejection(self, name: str, kind: str, *, ejected: bool) -> None:
        if ejected:
            self.host.recorder.record(
                'backend_ejected',
                backend_server=name,
                kind=kind,
            )


def _error(action: GiveUp, demand: Demand) -> CelerywharfError:
    again_s = action.retry_after_s
    match action.reason:
        case Refusal.limit:
            return LimitReachedError(
                f'{demand.client_account} uses all it may',
                retry_after_s=again_s,
            )
        case Refusal.unreachable:
            return NoBackendServerError(
                f'no backend server of {demand.service} can be reached',
                retry_after_s=again_s,
            )
    return OverloadedError(
        f'{demand.service} cannot begin within {demand.deadline_s:g} s',
        retry_after_s=again_s,
    )
