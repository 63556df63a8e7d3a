"""The part that admits work to the backend servers this host owns."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.admissions._desks import GrantDesk
from celerywharf.admissions._polls import Poll, is_polled
from celerywharf.admissions.loads import UNREPORTED_CAPACITY, LoadView
from celerywharf.admissions.ownership import owner_of
from celerywharf.admissions.queues import BackendQueue
from celerywharf.admissions.tickets import (
    Dropped,
    Message,
    Refusal,
    Tick,
)
from celerywharf.membership import Peer
from celerywharf.tables import BackendServer, BackendState
from celerywharf.tasks import Part

if TYPE_CHECKING:
    from celerywharf.hosts import Host

TICK_S = 0.1
SETTLE_S = 0.05
PLAIN_CAPACITY = 256


@dataclass(slots=True)
class Owned:
    """A backend server this host admits work to."""

    backend: BackendServer
    queue: BackendQueue
    poll: Poll
    task: asyncio.Task | None = None


class Resettle:
    """Message: hosts or rows have changed; see who owns what."""


class Owners(Part):
    """Holds the queues of the backend servers owned here.

    Attributes:
        owned: what this host admits work to, by name.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.rng = Random(host.identity.name)
        self.owned: dict[str, Owned] = {}
        self.desk = GrantDesk(self)
        self.settling = False
        self.known_owners: dict[str, Peer] = {}

    def start(self) -> None:
        """Take over what belongs to this host."""
        super().start()
        self.host.membership.on_change(self._on_peer)
        self.host.membership.notices.on_notice(self._on_notice)
        self.host.tables.on_rows(lambda _rows: self.settle_soon())
        self.host.timers.every(TICK_S, self.post, Tick())
        self.settle_soon()

    def handle(self, message: Any) -> None:
        """Take a timer message."""
        match message:
            case Tick():
                for name in tuple(self.owned):
                    self.decide(name, message)
            case Resettle():
                self.settling = False
                self._settle()

    def settle_soon(self) -> None:
        """See who owns what once changes have come to rest."""
        if not self.settling:
            self.settling = True
            self.host.timers.after(SETTLE_S, self.post, Resettle())

    def owner(self, backend: BackendServer) -> Peer:
        """Return the host that admits work to a backend server.

        It stands in the backend server's zone; where no host of that zone is
        known, a host of this zone stands in.
        """
        known = self.known_owners.get(backend.name)
        if known is None:
            membership = self.host.membership
            own_zone = self.host.identity.availability_zone
            peers = membership.live(backend.availability_zone)
            known = owner_of(backend.name, peers or membership.live(own_zone))
            self.known_owners[backend.name] = known
        return known

    def decide(self, name: str, message: Message) -> None:
        """Let the queue of a backend server decide; carry out its actions."""
        owned = self.owned.get(name)
        if owned is None:
            return
        now = self.host.timers.now()
        for action in owned.queue.decide(message, now):
            self.desk.answer(owned, action)

    def _on_peer(self, peer: Peer, alive: bool) -> None:
        self.known_owners.clear()
        if peer.availability_zone == self.host.identity.availability_zone:
            self.settle_soon()

    def _on_notice(self, backend_server: str, leaving: bool) -> None:
        self.settle_soon()

    def backend(self, name: str) -> BackendServer | None:
        """Find the row in force of a backend server."""
        return self.host.catalogue.backend_servers.get(name)

    def holds_prefix(self, name: str, prefix_hash: str) -> bool:
        """Tell whether an owned backend server seems to hold a prefix."""
        owned = self.owned.get(name)
        return owned is not None and owned.poll.prefixes.holds(prefix_hash)

    def _settle(self) -> None:
        self.known_owners.clear()
        backends = self.host.catalogue.backend_servers
        mine = {
            name: backend
            for name, backend in backends.items()
            if self._is_mine(backend)
        }
        for name in self.owned.keys() - mine.keys():
            self._give_up(name, Refusal.not_owner)
        for name, backend in mine.items():
            self._keep(name, backend)

    def _is_mine(self, backend: BackendServer) -> bool:
        return self.owner(backend).name == self.host.identity.name

    def _keep(self, name: str, backend: BackendServer) -> None:
        owned = self.owned.get(name)
        if owned is not None and owned.backend.url != backend.url:
            self._give_up(name, Refusal.not_owner)
            owned = None
        if owned is None:
            self._take_over(name, backend)
        else:
            owned.backend = backend
        if not self.takes_work(name):
            self.decide(name, Dropped(Refusal.leaving))

    def takes_work(self, name: str) -> bool:
        """Tell whether a backend server gets new work, as known here."""
        backend = self.backend(name)
        if backend is None or backend.state is not BackendState.active:
            return False
        return not self.host.membership.notices.is_leaving(name)

    def _take_over(self, name: str, backend: BackendServer) -> None:
        polled = is_polled(self, backend)
        capacity = UNREPORTED_CAPACITY if polled else PLAIN_CAPACITY
        now = self.host.timers.now()
        share_of = functools.partial(self._share_of, name)
        queue = BackendQueue(share_of, LoadView(polled, capacity, now))
        owned = Owned(backend, queue, Poll(self, backend))
        self.owned[name] = owned
        if polled:
            owned.task = self.spawn(owned.poll.run())
        self.host.recorder.record('backend_owned', backend_server=name)

    def _share_of(self, name: str, client_account: str) -> Any:
        return self.host.catalogue.share_of(name, client_account)

    def _give_up(self, name: str, reason: Refusal) -> None:
        self.decide(name, Dropped(reason))
        owned = self.owned.pop(name)
        if owned.task is not None:
            owned.task.cancel()
        self.host.recorder.record('backend_given_up', backend_server=name)
