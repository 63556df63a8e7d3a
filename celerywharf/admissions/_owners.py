"""Ownership of backend servers and the queues of those owned here."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.admissions._grant_service import GrantService
from celerywharf.admissions._pollers import LoadPoller, is_polled
from celerywharf.admissions.loads import UNREPORTED_CAPACITY, LoadView
from celerywharf.admissions.ownership import owner_of
from celerywharf.admissions.queues import BackendQueue
from celerywharf.admissions.tickets import (
    AdmissionStopped,
    Message,
    Refusal,
    Tick,
)
from celerywharf.membership import Peer
from celerywharf.tables import BackendServer, BackendState
from celerywharf.tasks import Part

if TYPE_CHECKING:
    from celerywharf.hosts import Host

TICK_INTERVAL_S = 0.1
UPDATE_DELAY_S = 0.05  # combines changes that arrive together
UNPOLLED_CAPACITY = 256  # for services that do not report their load


@dataclass(slots=True)
class OwnedBackend:
    """A backend server owned by this host.

    Attributes:
        task: the running load poller; None when the load is not polled.
    """

    backend: BackendServer
    queue: BackendQueue
    poller: LoadPoller
    task: asyncio.Task | None = None


class UpdateOwnership:
    """Timer message: hosts or table rows changed; recompute ownership."""


class Owners(Part):
    """Runs the queues of the backend servers that this host owns.

    Attributes:
        owned: the owned backend servers by name.
        owner_cache: owners by backend server; cleared when hosts or rows
            change.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.rng = Random(host.identity.name)
        self.owned: dict[str, OwnedBackend] = {}
        self.grant_service = GrantService(self)
        self.update_scheduled = False
        self.owner_cache: dict[str, Peer] = {}

    def start(self) -> None:
        """Start tracking ownership; the first update follows soon."""
        super().start()
        self.host.membership.on_change(self._on_peer_change)
        self.host.membership.notices.on_notice(self._on_notice)
        self.host.tables.on_rows(lambda _rows: self.schedule_update())
        self.host.timers.every(TICK_INTERVAL_S, self.post, Tick())
        self.schedule_update()

    def handle(self, message: Any) -> None:
        """Advance the queues or recompute ownership."""
        match message:
            case Tick():
                for name in tuple(self.owned):
                    self.decide(name, message)
            case UpdateOwnership():
                self.update_scheduled = False
                self._update_ownership()

    def schedule_update(self) -> None:
        """Recompute ownership after a short delay, once for many changes."""
        if not self.update_scheduled:
            self.update_scheduled = True
            self.host.timers.after(UPDATE_DELAY_S, self.post, UpdateOwnership())

    def owner(self, backend: BackendServer) -> Peer:
        """Return the host that admits work to a backend server.

        The owner is in the backend server's availability zone, or in this
        host's zone if no live host of the other zone is known.
        """
        owner = self.owner_cache.get(backend.name)
        if owner is None:
            membership = self.host.membership
            own_zone = self.host.identity.availability_zone
            peers = membership.live(backend.availability_zone)
            owner = owner_of(backend.name, peers or membership.live(own_zone))
            self.owner_cache[backend.name] = owner
        return owner

    def decide(self, name: str, message: Message) -> None:
        """Apply a message to a queue and carry out the resulting actions.

        Does nothing if this host does not own the backend server.
        """
        owned = self.owned.get(name)
        if owned is None:
            return
        now = self.host.timers.now()
        for action in owned.queue.decide(message, now):
            self.grant_service.send_answer(owned, action)

    def _on_peer_change(self, peer: Peer, alive: bool) -> None:
        self.owner_cache.clear()
        if peer.availability_zone == self.host.identity.availability_zone:
            self.schedule_update()

    def _on_notice(self, backend_server: str, leaving: bool) -> None:
        self.schedule_update()

    def backend(self, name: str) -> BackendServer | None:
        """Return the current table row of a backend server, or None."""
        return self.host.catalogue.backend_servers.get(name)

    def holds_prefix(self, name: str, prefix_hash: str) -> bool:
        """Return whether an owned backend server probably caches a prefix."""
        owned = self.owned.get(name)
        return owned is not None and owned.poller.prefixes.holds(prefix_hash)

    def _update_ownership(self) -> None:
        self.owner_cache.clear()
        backends = self.host.catalogue.backend_servers
        assigned = {
            name: backend
            for name, backend in backends.items()
            if self._is_owner(backend)
        }
        for name in self.owned.keys() - assigned.keys():
            self._give_up_ownership(name, Refusal.not_owner)
        for name, backend in assigned.items():
            self._ensure_owned(name, backend)

    def _is_owner(self, backend: BackendServer) -> bool:
        return self.owner(backend).name == self.host.identity.name

    def _ensure_owned(self, name: str, backend: BackendServer) -> None:
        owned = self.owned.get(name)
        if owned is not None and owned.backend.url != backend.url:
            self._give_up_ownership(name, Refusal.not_owner)
            owned = None
        if owned is None:
            self._take_over(name, backend)
        else:
            owned.backend = backend
        if not self.accepts_work(name):
            self.decide(name, AdmissionStopped(Refusal.leaving))

    def accepts_work(self, name: str) -> bool:
        """Return whether a backend server may be given new work.

        False unless its row is active and no notice says that it is leaving.
        """
        backend = self.backend(name)
        if backend is None or backend.state is not BackendState.active:
            return False
        return not self.host.membership.notices.is_leaving(name)

    def _take_over(self, name: str, backend: BackendServer) -> None:
        polled = is_polled(self, backend)
        capacity = UNREPORTED_CAPACITY if polled else UNPOLLED_CAPACITY
        now = self.host.timers.now()
        share_of = functools.partial(self._share_of, name)
        queue = BackendQueue(share_of, LoadView(polled, capacity, now))
        owned = OwnedBackend(backend, queue, LoadPoller(self, backend))
        self.owned[name] = owned
        if polled:
            owned.task = self.spawn(owned.poller.run())
        self.host.recorder.record('backend_owned', backend_server=name)

    def _share_of(self, name: str, client_account: str) -> Any:
        return self.host.catalogue.share_of(name, client_account)

    def _give_up_ownership(self, name: str, reason: Refusal) -> None:
        self.decide(name, AdmissionStopped(reason))
        owned = self.owned.pop(name)
        if owned.task is not None:
            owned.task.cancel()
        self.host.recorder.record('backend_given_up', backend_server=name)
