"""Failure detection inside one availability zone.

Based on SWIM (Das, Gupta, Motivala, DSN 2002): in each period a host probes
one other host, chosen at random.  Before it suspects a host that does not
respond, it has a few others probe it, and a suspected host has time to refute
the suspicion.  The load on a host does not grow with the size of the zone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from random import Random

from celerywharf.membership.gossip import MAX_PIGGYBACKED_STATES, GossipQueue
from celerywharf.membership.messages import (
    Action,
    HostChanged,
    Leave,
    Message,
    ProbeDirectly,
    ProbeFailed,
    ProbeIndirectly,
    SendStates,
    StatesReceived,
    Tick,
)
from celerywharf.membership.states import (
    Status,
    is_live,
    is_newer,
    with_status,
)
from celerywharf.wire.membership import PeerState

INDIRECT_PROBE_HELPERS = 3
GOSSIP_FANOUT = 4
TOMBSTONE_RETENTION_S = 300.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the detector, in seconds.

    Attributes:
        probe_s: time between two probes.
        suspicion_s: time after which a suspected host is declared dead.
    """

    probe_s: float
    suspicion_s: float


@dataclass(slots=True)
class Member:
    """Another host of the zone.

    Attributes:
        state: the newest state known of it.
        status_since_s: monotonic time at which the state was applied, moved
            forward by the time that this process was paused.
    """

    state: PeerState
    status_since_s: float


class Detector:
    """Decides which hosts to probe, suspect, declare dead and notify.

    Attributes:
        own: the state that this host announces.
        members: the other hosts of the zone by name; dead ones are kept for
            TOMBSTONE_RETENTION_S.
        other_zone_hosts: hosts of other zones that may help with indirect
            probes.
        gossip: states still to be sent to the zone.
        probe_order: names of the hosts still to be probed in this round.
        resumed_s: monotonic time at which this process last continued after
            a pause.
    """

    def __init__(self, own: PeerState, timing: Timing, rng: Random) -> None:
        self.own = own
        self.timing = timing
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.other_zone_hosts: tuple[PeerState, ...] = ()
        self.gossip = GossipQueue()
        self.probe_order: list[str] = []
        self.next_probe_s = -math.inf
        self.last_message_s: float | None = None
        self.resumed_s = -math.inf

    def decide(self, message: Message, now: float) -> list[Action]:
        """Apply a message at a monotonic time and return the actions."""
        self._account_for_pause(now)
        match message:
            case Tick():
                return [*self._expire(now), *self._probe(now)]
            case ProbeFailed():
                return self._handle_probe_failure(message, now)
            case StatesReceived(states):
                return self._apply_states(states, now)
            case Leave():
                return self._publish_own(leaving=True)

    def live(self) -> list[PeerState]:
        """Return the other live hosts of the zone."""
        return [
            member.state
            for member in self.members.values()
            if is_live(member.state)
        ]

    def gossip_targets(self) -> list[PeerState]:
        """Choose a few random live hosts of the zone to send gossip to."""
        live = self.live()
        return self.rng.sample(live, min(GOSSIP_FANOUT, len(live)))

    def states_for(self, name: str) -> list[PeerState]:
        """Return the states to include in a message to host ``name``.

        Includes the state of that host if it is considered suspect or dead,
        so that it can refute it.
        """
        states = {state.name: state for state in self._take_queued()}
        member = self.members.get(name)
        if member is not None and member.state.status != Status.alive:
            states[name] = member.state
        states[self.own.name] = self.own
        return list(states.values())

    def _take_queued(self) -> list[PeerState]:
        return self.gossip.take(len(self.members) + 1)

    def _account_for_pause(self, now: float) -> None:
        # Nothing is received while this process is paused, so the pause must
        # not count as silence of the other hosts.
        before = now if self.last_message_s is None else self.last_message_s
        self.last_message_s = now
        gap_s = now - before
        if gap_s <= self.timing.probe_s:
            return
        self.resumed_s = now
        for member in self.members.values():
            member.status_since_s += gap_s

    def _expire(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name, member in tuple(self.members.items()):
            age_s = now - member.status_since_s
            match Status(member.state.status):
                case Status.suspect if age_s >= self.timing.suspicion_s:
                    dead = with_status(member.state, Status.dead)
                    actions.extend(self._set_state(dead, now))
                case Status.dead if age_s >= TOMBSTONE_RETENTION_S:
                    self.members.pop(name)
        return actions

    def _probe(self, now: float) -> list[Action]:
        if now < self.next_probe_s:
            return []
        self.next_probe_s = now + self.timing.probe_s
        live = {state.name: state for state in self.live()}
        if not live:
            return []
        self.probe_order = [name for name in self.probe_order if name in live]
        if not self.probe_order:
            self.probe_order = self.rng.sample(sorted(live), len(live))
        return [ProbeDirectly(live[self.probe_order.pop()])]

    def _handle_probe_failure(
        self, message: ProbeFailed, now: float
    ) -> list[Action]:
        member = self.members.get(message.target.name)
        if member is None or message.started_s < self.resumed_s:
            return []
        if member.state != message.target:
            return []
        helpers = () if message.indirect else self._choose_helpers(member.state)
        if helpers:
            return [ProbeIndirectly(member.state, helpers)]
        if member.state.status != Status.alive:
            return []
        return self._set_state(with_status(member.state, Status.suspect), now)

    def _choose_helpers(self, target: PeerState) -> tuple[PeerState, ...]:
        same_zone = [
            state for state in self.live() if state.name != target.name
        ]
        other_zones = list(self.other_zone_hosts)
        self.rng.shuffle(same_zone)
        self.rng.shuffle(other_zones)
        return tuple([*same_zone, *other_zones][:INDIRECT_PROBE_HELPERS])

    def _apply_states(
        self,
        states: tuple[PeerState, ...],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for state in states:
            if state.name == self.own.name:
                actions.extend(self._refute(state))
            else:
                actions.extend(self._apply_peer_state(state, now))
        return _drop_excess_sends(actions)

    def _apply_peer_state(self, state: PeerState, now: float) -> list[Action]:
        known = self.members.get(state.name)
        if known is None and not is_live(state):
            return []
        if known is not None and not is_newer(state, known.state):
            return []
        return self._set_state(state, now)

    def _refute(self, state: PeerState) -> list[Action]:
        if state.incarnation != self.own.incarnation:
            return []
        reported_failed = state.status != Status.alive
        if state.serial < self.own.serial or not reported_failed:
            return []
        self.own = replace(self.own, serial=state.serial)
        return self._publish_own(leaving=self.own.leaving)

    def _publish_own(self, *, leaving: bool) -> list[Action]:
        serial = self.own.serial + 1
        self.own = replace(self.own, serial=serial, leaving=leaving)
        self.gossip.add(self.own)
        return [self._send_state(self.own)]

    def _set_state(self, state: PeerState, now: float) -> list[Action]:
        known = self.members.get(state.name)
        before = known.state if known else None
        self.members[state.name] = Member(state, now)
        self.gossip.add(state)
        actions: list[Action] = [self._send_state(state)]
        if _observable_state(before) != _observable_state(state):
            actions.append(HostChanged(state, alive=is_live(state)))
        return actions

    def _send_state(self, state: PeerState) -> SendStates:
        targets = self.gossip_targets()
        if state.name in self.members and state not in targets:
            # Always notify the host itself: only it can refute the state.
            targets.append(state)
        return SendStates(tuple(targets), (state,))


def _observable_state(state: PeerState | None) -> tuple:
    if state is None:
        return (False,)
    return is_live(state), state.leaving, state.incarnation, state.inner


def _drop_excess_sends(actions: list[Action]) -> list[Action]:
    # Many updates at once travel with the probes instead, which carry a
    # bounded number of states.
    sends = [action for action in actions if isinstance(action, SendStates)]
    if len(sends) <= MAX_PIGGYBACKED_STATES:
        return actions
    return [action for action in actions if not isinstance(action, SendStates)]
