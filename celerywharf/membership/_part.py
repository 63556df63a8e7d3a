"""The part that knows which hosts are alive."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError
from celerywharf.membership.peers import Peer
from celerywharf.structures import Address
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.membership import PeerState, View, ViewRequest

if TYPE_CHECKING:
    from celerywharf.hosts import Host

ALIVE = 'alive'
FORGET_AFTER_PROBES = 3

OnChange = Callable[[Peer, bool], None]


class _Round:
    """Timer message: ask all known hosts."""


class Membership(Part):
    """Asks seeds and known hosts for their view, forgets the silent.

    Attributes:
        peers: live hosts by name, this host included.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.peers: dict[str, Peer] = {}
        self.misses: dict[Address, int] = {}
        self.callbacks: list[OnChange] = []
        self.host.links.subscribe(ViewRequest, self._asked)

    def start(self) -> None:
        """Begin asking."""
        super().start()
        self._learn(self.self_state())
        self.post(_Round())
        period_s = self.host.settings.membership.probe_s
        self.host.timers.every(period_s, self.post, _Round())

    def live(self, availability_zone: str | None = None) -> list[Peer]:
        """List live hosts, this one included, of one zone or all known."""
        return [
            peer
            for peer in self.peers.values()
            if availability_zone in {None, peer.availability_zone}
        ]

    def peer(self, name: str) -> Peer | None:
        """Find a live host by name."""
        return self.peers.get(name)

    def on_change(self, callback: OnChange) -> None:
        """Call ``callback(peer, alive)`` when a host comes, changes, goes."""
        self.callbacks.append(callback)

    def self_state(self) -> PeerState:
        """Describe this host."""
        identity = self.host.identity
        return PeerState(
            name=identity.name,
            region=identity.region,
            availability_zone=identity.availability_zone,
            inner=str(identity.inner),
            edge=str(self.host.settings.host.listen),
            incarnation=identity.incarnation,
            serial=int(self.host.leaving),
            status=ALIVE,
            leaving=self.host.leaving,
        )

    def handle(self, message: object) -> None:
        """Take a timer message."""
        known = {peer.inner for peer in self.peers.values()}
        known.update(self.host.settings.peers.seeds)
        for address in known - {self.host.identity.inner}:
            self.spawn(self._ask(address))

    async def _ask(self, address: Address) -> None:
        request = ViewRequest([self.self_state()])
        try:
            view = await self.host.links.request(address, request)
        except CelerywharfError:
            self._missed(address)
            return
        self.misses.pop(address, None)
        self._learn(*view.states)

    def _asked(self, sender: Sender, message: ViewRequest) -> View:
        self._learn(*message.states)
        return View([self.self_state()])

    def _learn(self, *states: PeerState) -> None:
        for state in states:
            peer = Peer.of(state)
            known = self.peers.get(peer.name)
            if known == peer:
                continue
            if known and known.incarnation > peer.incarnation:
                continue
            self.peers[peer.name] = peer
            self._changed(peer, alive=True)

    def _missed(self, address: Address) -> None:
        self.misses[address] = self.misses.get(address, 0) + 1
        if self.misses[address] < FORGET_AFTER_PROBES:
            return
        for peer in tuple(self.peers.values()):
            if peer.inner == address:
                self.peers.pop(peer.name)
                self._changed(peer, alive=False)

    def _changed(self, peer: Peer, *, alive: bool) -> None:
        for callback in self.callbacks:
            callback(peer, alive)
