"""The part that admits requests to backend servers."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from celerywharf.admissions.demands import Demand, Grant, Outcome
from celerywharf.exceptions import LimitReachedError, NoBackendServerError
from celerywharf.tables import BackendServer

if TYPE_CHECKING:
    from celerywharf.hosts import Host

RETRY_AFTER_S = 1.0
ELSEWHERE = 2


class Admissions:
    """Gives the least loaded backend server of the nearest place."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.numbers = itertools.count(1)
        self.in_flight: Counter[str] = Counter()
        self.by_account: Counter[tuple[str, str]] = Counter()
        self.grants: dict[int, Grant] = {}

    async def admit(self, demand: Demand) -> Grant:
        """Return a grant.

        Raises:
            NoBackendServerError: nothing allowed serves this service.
            LimitReachedError: the client account uses all it may.
            OverloadedError: no grant can be had within the deadline.
        """
        allowed = self._allowed(demand)
        if not allowed:
            raise NoBackendServerError(
                f'no backend server for {demand.service}',
                retry_after_s=RETRY_AFTER_S,
            )
        free = [one for one in allowed if self._below_limit(one, demand)]
        if not free:
            raise LimitReachedError(
                f'{demand.client_account} uses all it may',
                retry_after_s=RETRY_AFTER_S,
            )
        chosen = min(free, key=self._preference)
        return self._grant(chosen, demand)

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Give a grant back when its work ended; repeating it is harmless."""
        if self.grants.pop(grant.number, None) is None:
            return
        name = grant.backend_server.name
        self.in_flight[name] -= 1
        self.by_account[name, grant.client_account] -= 1

    def report_failure(self, backend_server: str, kind: str) -> None:
        """Say that a backend server failed, such as ``reset``, ``silent``."""
        self.host.recorder.record(
            'backend_server_failed',
            backend_server=backend_server,
            kind=kind,
        )

    def _allowed(self, demand: Demand) -> list[BackendServer]:
        return [
            backend
            for backend in self.host.catalogue.backends_of(demand.service)
            if backend.name not in demand.exclude
            and self._may_reach(backend, demand)
        ]

    def _may_reach(self, backend: BackendServer, demand: Demand) -> bool:
        if backend.region == self.host.identity.region:
            return True
        share = self.host.catalogue.share_of(
            backend.name,
            demand.client_account,
        )
        return share.cross_region

    def _below_limit(self, backend: BackendServer, demand: Demand) -> bool:
        account = demand.client_account
        share = self.host.catalogue.share_of(backend.name, account)
        return self.by_account[backend.name, account] < share.limit

    def _preference(self, backend: BackendServer) -> tuple:
        return self._distance(backend), self.in_flight[backend.name]

    def _distance(self, backend: BackendServer) -> int:
        identity = self.host.identity
        if backend.region != identity.region:
            return ELSEWHERE
        return int(backend.availability_zone != identity.availability_zone)

    def _grant(self, backend: BackendServer, demand: Demand) -> Grant:
        account = self.host.catalogue.client_accounts.get(
            demand.client_account,
        )
        grant = Grant(
            number=next(self.numbers),
            backend_server=backend,
            client_account=demand.client_account,
            priority=account.priority if account else 0,
        )
        self.grants[grant.number] = grant
        self.in_flight[backend.name] += 1
        self.by_account[backend.name, demand.client_account] += 1
        return grant
