"""The part that keeps engines in the state the table asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.orders._queue import WeightQueue
from celerywharf.orders._steward import Steward
from celerywharf.orders._wishes import has_wishes
from celerywharf.tables import BackendServer
from celerywharf.tasks import Part
from celerywharf.utils import rendezvous_order

if TYPE_CHECKING:
    from celerywharf.hosts import Host


class Look:
    """Timer message: look at the backend servers of this host."""


class Orders(Part):
    """Attends to the backend servers whose orders this host gives.

    That is one host of a server's own availability zone.  Two that both
    believe it are kept apart by the lease.

    Attributes:
        stewards: by name of the backend server.
        attended: names of the servers being attended to now.
        owners: name of the host that gives a server's orders, as computed.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.queue = WeightQueue(host)
        self.stewards: dict[str, Steward] = {}
        self.attended: set[str] = set()
        self.owners: dict[str, str] = {}

    def start(self) -> None:
        """Begin to look."""
        super().start()
        self.queue.start()
        self.host.membership.on_change(self._on_peer)
        self.host.tables.on_rows(self._on_rows)
        period_s = self.host.settings.orders.look_s
        self.host.timers.every(period_s, self.post, Look())

    async def stop(self) -> None:
        """Stop at once; leases run out."""
        await self.queue.stop()
        await super().stop()

    def handle(self, message: Look) -> None:
        """Attend to each server that is not attended to already."""
        for backend in self.host.catalogue.backend_servers.values():
            if backend.name in self.attended:
                continue
            if has_wishes(backend) and self._is_mine(backend):
                self._attend(backend)
            elif backend.name in self.stewards:
                self.spawn(self.stewards.pop(backend.name).release())

    def _attend(self, backend: BackendServer) -> None:
        steward = self.stewards.get(backend.name)
        if steward is None:
            steward = Steward(self.host, self.queue, backend)
            self.stewards[backend.name] = steward
        self.attended.add(backend.name)
        task = self.spawn(steward.attend())
        task.add_done_callback(
            lambda _done: self.attended.discard(backend.name),
        )

    def _is_mine(self, backend: BackendServer) -> bool:
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

    def _on_peer(self, _peer: object, _alive: bool) -> None:
        self.owners.clear()

    def _on_rows(self, _rows: object) -> None:
        self.owners.clear()
        self.post(Look())
