"""The membership part of a host: runs failure detection and gossip."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any

from celerywharf.exceptions import CelerywharfError
from celerywharf.membership._broadcasters import NoticeBroadcaster
from celerywharf.membership._rpc import MembershipRpc
from celerywharf.membership._schedules import PeriodicTask, Schedule
from celerywharf.membership.detectors import Detector, Timing
from celerywharf.membership.introducers import Introducers
from celerywharf.membership.messages import (
    Action,
    HostChanged,
    Leave,
    ProbeDirectly,
    ProbeFailed,
    ProbeIndirectly,
    SendStates,
    StatesReceived,
    Tick,
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

# Timeouts and periodic tasks are checked on each tick, more often than probes.
TICKS_PER_PROBE = 5

OnChange = Callable[[Peer, bool], None]


class Membership(Part):
    """Membership view: all hosts of the own zone, a few of each other zone.

    Attributes:
        detector: failure detector of the own zone.
        samples: known hosts of other zones.
        notices: notices about leaving backend servers.
        introducers: addresses of hosts to discover others through.
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
        self.notices = NoticeBroadcaster(self)
        self.introducers = Introducers(
            host.settings.peers.seeds,
            self.rng,
        )
        self.schedule = Schedule(self.rng)
        self.rpc = MembershipRpc(self)
        self.change_callbacks: list[OnChange] = []

    def start(self) -> None:
        """Start probing."""
        super().start()
        self.post(Tick())
        period_s = self.host.settings.membership.probe_s / TICKS_PER_PROBE
        self.host.timers.every(period_s, self.post, Tick())

    def live(self, availability_zone: str | None = None) -> list[Peer]:
        """Return the known live hosts of one zone, or of all zones if None.

        This host is included.  Of other zones only a sample is known.
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
        """Return a live host by name, or None when it is not known here."""
        if name == self.detector.own.name:
            return Peer.of(self.detector.own)
        member = self.detector.members.get(name)
        state = member.state if member else self.samples.find(name)
        return Peer.of(state) if state and is_live(state) else None

    async def find(self, name: str) -> Peer | None:
        """Return a live host of any zone by name, or None.

        When it is not known here, asks one host of each other zone in turn.
        """
        known = self.peer(name)
        if known is not None:
            return known
        for state in self.samples.one_per_zone():
            found = await self.rpc.find(state, name)
            if found is not None:
                return Peer.of(found)
        return None

    def on_change(self, callback: OnChange) -> None:
        """Call ``callback(peer, alive)`` when a host appears, changes, dies."""
        self.change_callbacks.append(callback)

    def leave(self) -> None:
        """Announce to the other hosts at once that this one is leaving."""
        self._execute(self.detector.decide(Leave(), self.host.timers.now()))
        own = self.detector.own
        for state in (*self.detector.live(), *self.samples.all()):
            self.send(state, Gossip([own], []))
        self._notify_change(own, alive=True)

    def receive(
        self,
        states: Iterable[PeerState],
        notices: Iterable[Notice],
    ) -> None:
        """Apply states and notices received from another host."""
        now = self.host.timers.now()
        zone = self.detector.own.availability_zone
        own_zone_states: list[PeerState] = []
        other_zone_states: list[PeerState] = []
        for state in states:
            in_own_zone = state.availability_zone == zone
            (own_zone_states if in_own_zone else other_zone_states).append(
                state
            )
        self._execute(
            self.detector.decide(StatesReceived(tuple(own_zone_states)), now)
        )
        for state in self.samples.apply(other_zone_states, now):
            self._notify_change(state, alive=is_live(state))
        self.notices.receive(notices)

    def handle(self, message: Any) -> None:
        """Handle a timer message or a failed probe."""
        now = self.host.timers.now()
        self.detector.other_zone_hosts = tuple(self.samples.all())
        self._execute(self.detector.decide(message, now))
        if isinstance(message, Tick):
            isolated = not self.detector.live()
            for task in self.schedule.due(now, isolated=isolated):
                self._run_task(task)

    def _run_task(self, task: PeriodicTask) -> None:
        match task:
            case PeriodicTask.introduce:
                for address in self.introducers.choose(
                    *self._known_addresses()
                ):
                    self.spawn(self.rpc.request_view(address))
            case PeriodicTask.refresh_sample:
                state = self.samples.next_refresh_target()
                if state is not None:
                    self.spawn(self._refresh_sample(state))
            case PeriodicTask.synchronize:
                live = self.detector.live()
                if live:
                    inner = Address.parse(self.rng.choice(live).inner)
                    self.spawn(self.rpc.request_view(inner))
            case PeriodicTask.read_hints:
                self.spawn(self._read_host_list())

    def _known_addresses(self) -> tuple[list[Address], list[Address]]:
        live = [peer.inner for peer in self.live()]
        dead = [
            Address.parse(member.state.inner)
            for member in self.detector.members.values()
            if member.state.status == Status.dead
        ]
        return live, dead

    async def _refresh_sample(self, state: PeerState) -> None:
        if await self.rpc.request_sample(state):
            return
        if self.samples.drop(state.name) is not None:
            self._notify_change(state, alive=False)

    async def _read_host_list(self) -> None:
        if not self._is_list_reader():
            return
        try:
            listed = await self.host.platform.hosts()
        except CelerywharfError:
            return
        backends = self.host.catalogue.backend_servers
        for entry in listed:
            if entry.leaving and entry.name in backends:
                self.notices.refresh(entry.name)
        self.introducers.update_hints(host.address for host in listed)

    def _is_list_reader(self) -> bool:
        # Only one host of the zone reads the list, to limit the load on the
        # platform; the others receive the result by gossip.
        own = self.detector.own
        names = [own.name, *(state.name for state in self.detector.live())]
        return rendezvous_order(own.availability_zone, names)[0] == own.name

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case ProbeDirectly(target):
                    self.spawn(self._probe(target))
                case ProbeIndirectly(target, helpers):
                    self.spawn(self._probe_indirectly(target, helpers))
                case SendStates(targets, states):
                    for target in targets:
                        self.send(target, Gossip(list(states), []))
                case HostChanged(state, alive):
                    self._notify_change(state, alive=alive)

    async def _probe(self, target: PeerState) -> None:
        started_s = self.host.timers.now()
        if not await self.rpc.probe(target):
            self.post(ProbeFailed(target, started_s, indirect=False))

    async def _probe_indirectly(
        self,
        target: PeerState,
        helpers: tuple[PeerState, ...],
    ) -> None:
        started_s = self.host.timers.now()
        if not await self.rpc.probe_indirectly(target, helpers):
            self.post(ProbeFailed(target, started_s, indirect=True))

    def _notify_change(self, state: PeerState, *, alive: bool) -> None:
        self.host.recorder.record(
            'host_changed',
            host=state.name,
            alive=alive,
            leaving=state.leaving,
        )
        for callback in self.change_callbacks:
            callback(Peer.of(state), alive)

    def send(self, target: PeerState, message: Gossip) -> None:
        """Send gossip to a host; delivery is not guaranteed."""
        self.host.links.send(Address.parse(target.inner), message)
