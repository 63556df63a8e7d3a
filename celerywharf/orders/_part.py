"""The orders part of a host: reconciles engines with the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.orders._desired_state import has_desired_state
from celerywharf.orders._reconciler import Reconciler
from celerywharf.orders._weight_queue import WeightQueue
from celerywharf.tables import BackendServer
from celerywharf.tasks import Part
from celerywharf.utils import rendezvous_order

if TYPE_CHECKING:
    from celerywharf.hosts import Host


class ReconcileTick:
    """Timer message: reconcile the backend servers of this host."""


class Orders(Part):
    """Reconciles the backend servers that this host is responsible for.

    One host of a server's availability zone is responsible for it.  If two
    hosts both consider themselves responsible, the lease keeps them from
    sending orders at the same time.

    Attributes:
        reconcilers: by name of the backend server.
        in_progress: names of the servers being reconciled now.
        owners: by name of the backend server, the responsible host; a cache
            that is cleared when hosts or rows change.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.queue = WeightQueue(host)
        self.reconcilers: dict[str, Reconciler] = {}
        self.in_progress: set[str] = set()
        self.owners: dict[str, str] = {}

    def start(self) -> None:
        """Start reconciling."""
        super().start()
        self.queue.start()
        self.host.membership.on_change(self._on_host_change)
        self.host.tables.on_rows(self._on_row_change)
        period_s = self.host.settings.orders.look_s
        self.host.timers.every(period_s, self.post, ReconcileTick())

    async def stop(self) -> None:
        """Stop at once; held leases are left to expire."""
        await self.queue.stop()
        await super().stop()

    def handle(self, message: ReconcileTick) -> None:
        """Start reconciling each server not yet in progress.

        Releases the leases of servers that this host no longer reconciles.
        """
        for backend in self.host.catalogue.backend_servers.values():
            if backend.name in self.in_progress:
                continue
            if has_desired_state(backend) and self._is_responsible(backend):
                self._reconcile(backend)
            elif backend.name in self.reconcilers:
                self.spawn(self.reconcilers.pop(backend.name).release())

    def _reconcile(self, backend: BackendServer) -> None:
        reconciler = self.reconcilers.get(backend.name)
        if reconciler is None:
            reconciler = Reconciler(self.host, self.queue, backend)
            self.reconcilers[backend.name] = reconciler
        self.in_progress.add(backend.name)
        task = self.spawn(reconciler.reconcile())
        task.add_done_callback(
            lambda _done: self.in_progress.discard(backend.name),
        )

    def _is_responsible(self, backend: BackendServer) -> bool:
        owner = self.owners.get(backend.name)
        if owner is None:
            owner = self._owner(backend)
            self.owners[backend.name] = owner
        return owner == self.host.identity.name

    def _owner(self, backend: BackendServer) -> str:
        membership = self.host.membership
        live = membership.live(backend.availability_zone) or membership.live()
        staying = [peer.name for peer in live if not peer.leaving]
        names = staying or [peer.name for peer in live]
        return rendezvous_order(f'orders/{backend.name}', names)[0]

    def _on_host_change(self, _peer: object, _alive: bool) -> None:
        self.owners.clear()

    def _on_row_change(self, _rows: object) -> None:
        self.owners.clear()
        self.post(ReconcileTick())
