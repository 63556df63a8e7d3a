"""The part that knows which hosts are alive."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.exceptions import CelerywharfError
from celerywharf.membership._boards import NoticeBoard
from celerywharf.membership._exchanges import Exchanges
from celerywharf.membership._schedules import Duty, Schedule
from celerywharf.membership.detectors import Detector, Timing
from celerywharf.membership.introductions import Introductions
from celerywharf.membership.messages import (
    Action,
    Changed,
    Learned,
    Leave,
    ProbeDirectly,
    ProbeIndirectly,
    Spread,
    Tick,
    Unreached,
)
from celerywharf.membership.peers import Peer, own_state
from celerywharf.membership.samples import Samples
from celerywharf.membership.states import Status, is_live
from celerywharf.structures import Address
from celerywharf.tasks import Part
from celerywharf.utils import rendezvous_order
from celerywharf.wire.membership import Gossip, Notice, PeerState

if TYPE_CHECKING:
    from celerywharf.hosts import Host

TICKS_PER_PROBE = 5

OnChange = Callable[[Peer, bool], None]


class Membership(Part):
    """Full view of the own zone, a bounded sample of each other one.

    Attributes:
        detector: decides about the own zone.
        samples: hosts known of other zones.
        notices: backend servers found to be leaving.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        timing = host.settings.membership
        self.rng = Random(f'{host.identity.name}:{host.identity.incarnation}')
        self.detector = Detector(
            own_state(host),
            Timing(timing.probe_s, timing.suspicion_s),
            self.rng,
        )
        self.samples = Samples(self.rng)
        self.notices = NoticeBoard(self)
        self.introductions = Introductions(
            host.settings.peers.seeds,
            self.rng,
        )
        self.schedule = Schedule(self.rng)
        self.exchanges = Exchanges(self)
        self.change_callbacks: list[OnChange] = []

    def start(self) -> None:
        """Begin probing."""
        super().start()
        self.post(Tick())
        period_s = self.host.settings.membership.probe_s / TICKS_PER_PROBE
        self.host.timers.every(period_s, self.post, Tick())

    def live(self, availability_zone: str | None = None) -> list[Peer]:
        """List live hosts, this one included, of one zone or all known.

        Of other zones only a few hosts are known.
        """
        states = [
            self.detector.own,
            *self.detector.live(),
            *self.samples.all(),
        ]
        return [
            Peer.of(state)
            for state in states
            if availability_zone in {None, state.availability_zone}
        ]

    def peer(self, name: str) -> Peer | None:
        """Find a live host among those known here."""
        if name == self.detector.own.name:
            return Peer.of(self.detector.own)
        member = self.detector.members.get(name)
        state = member.state if member else self.samples.find(name)
        return Peer.of(state) if state and is_live(state) else None

    async def find(self, name: str) -> Peer | None:
        """Find a live host anywhere, asking one host of each other zone."""
        known = self.peer(name)
        if known is not None:
            return known
        for state in self.samples.one_a_zone():
            found = await self.exchanges.find(state, name)
            if found is not None:
                return Peer.of(found)
        return None

    def on_change(self, callback: OnChange) -> None:
        """Call ``callback(peer, alive)`` when a host comes, changes, goes."""
        self.change_callbacks.append(callback)

    def leave(self) -> None:
        """Tell the other hosts at once that this one is leaving."""
        self._carry_out(self.detector.decide(Leave(), self.host.timers.now()))
        own = self.detector.own
        for state in (*self.detector.live(), *self.samples.all()):
            self.send(state, Gossip([own], []))
        self._changed(own, alive=True)

    def hear(
        self,
        states: Iterable[PeerState],
        notices: Iterable[Notice],
    ) -> None:
        """Learn what another host says."""
        now = self.host.timers.now()
        zone = self.detector.own.availability_zone
        near: list[PeerState] = []
        far: list[PeerState] = []
        for state in states:
            mine = state.availability_zone == zone
            (near if mine else far).append(state)
        self._carry_out(self.detector.decide(Learned(tuple(near)), now))
        for state in self.samples.learn(far, now):
            self._changed(state, alive=is_live(state))
        self.notices.hear(notices)

    def handle(self, message: Any) -> None:
        """Take a timer message or the outcome of a probe."""
        now = self.host.timers.now()
        self.detector.outsiders = tuple(self.samples.all())
        self._carry_out(self.detector.decide(message, now))
        if isinstance(message, Tick):
            alone = not self.detector.live()
            for duty in self.schedule.due(now, alone=alone):
                self._perform(duty)

    def _perform(self, duty: Duty) -> None:
        match duty:
            case Duty.introduce:
                for address in self.introductions.choose(*self._addresses()):
                    self.spawn(self.exchanges.view(address))
            case Duty.refresh_sample:
                state = self.samples.next_to_ask()
                if state is not None:
                    self.spawn(self._refresh(state))
            case Duty.synchronize:
                live = self.detector.live()
                if live:
                    inner = Address.parse(self.rng.choice(live).inner)
                    self.spawn(self.exchanges.view(inner))
            case Duty.read_hints:
                self.spawn(self._read_hints())

    def _addresses(self) -> tuple[list[Address], list[Address]]:
        live = [peer.inner for peer in self.live()]
        dead = [
            Address.parse(member.state.inner)
            for member in self.detector.members.values()
            if member.state.status == Status.dead
        ]
        return live, dead

    async def _refresh(self, state: PeerState) -> None:
        if await self.exchanges.sample(state):
            return
        if self.samples.drop(state.name) is not None:
            self._changed(state, alive=False)

    async def _read_hints(self) -> None:
        if not self._reads_list():
            return
        try:
            listed = await self.host.platform.hosts()
        except CelerywharfError:
            return
        backends = self.host.catalogue.backend_servers
        for entry in listed:
            if entry.leaving and entry.name in backends:
                self.notices.refresh(entry.name)
        self.introductions.hinted(host.address for host in listed)

    def _reads_list(self) -> bool:
        # One host a zone spares the platform the others' reads; what it
        # finds spreads by itself.
        own = self.detector.own
        names = [own.name, *(state.name for state in self.detector.live())]
        return rendezvous_order(own.availability_zone, names)[0] == own.name

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case ProbeDirectly(target):
                    self.spawn(self._probe(target))
                case ProbeIndirectly(target, helpers):
                    self.spawn(self._probe_through(target, helpers))
                case Spread(targets, states):
                    for target in targets:
                        self.send(target, Gossip(list(states), []))
                case Changed(state, alive):
                    self._changed(state, alive=alive)

    async def _probe(self, target: PeerState) -> None:
        started_s = self.host.timers.now()
        if not await self.exchanges.probe(target):
            self.post(Unreached(target, started_s, indirect=False))

    async def _probe_through(
        self,
        target: PeerState,
        helpers: tuple[PeerState, ...],
    ) -> None:
        started_s = self.host.timers.now()
        if not await self.exchanges.probe_through(target, helpers):
            self.post(Unreached(target, started_s, indirect=True))

    def _changed(self, state: PeerState, *, alive: bool) -> None:
        self.host.recorder.record(
            'host_changed',
            host=state.name,
            alive=alive,
            leaving=state.leaving,
        )
        for callback in self.change_callbacks:
            callback(Peer.of(state), alive)

    def send(self, target: PeerState, message: Gossip) -> None:
        """Send news to a host; it may be lost."""
        self.host.links.send(Address.parse(target.inner), message)
