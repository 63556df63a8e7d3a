"""Failure detection inside one availability zone.

After SWIM (Das, Gupta, Motivala, DSN 2002): each host probes one random other
host a period, asks a few more before it suspects, and a suspected host has
time to refute.  The load on a host does not grow with the zone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from random import Random

from celerywharf.membership.gossip import PIGGYBACK_LIMIT_STATES, GossipQueue
from celerywharf.membership.messages import (
    Action,
    Changed,
    Learned,
    Leave,
    Message,
    ProbeDirectly,
    ProbeIndirectly,
    Spread,
    Tick,
    Unreached,
)
from celerywharf.membership.states import (
    Status,
    is_live,
    is_newer,
    with_status,
)
from celerywharf.wire.membership import PeerState

HELPERS = 3
SPREAD_TARGETS = 4
TOMBSTONE_KEEP_S = 300.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods of the detector, in seconds."""

    probe_s: float
    suspicion_s: float


@dataclass(slots=True)
class Member:
    """A host of the zone.

    Attributes:
        state: the newest statement about it.
        since_s: when its status was taken over.
    """

    state: PeerState
    since_s: float


class Detector:
    """Decides whom to probe, suspect, declare dead and tell.

    Attributes:
        own: what this host says of itself.
        members: the other hosts of the zone, also the dead for a while.
        outsiders: hosts of other zones that may help to probe.
    """

    def __init__(self, own: PeerState, timing: Timing, rng: Random) -> None:
        self.own = own
        self.timing = timing
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.outsiders: tuple[PeerState, ...] = ()
        self.queue = GossipQueue()
        self.order: list[str] = []
        self.next_probe_s = -math.inf
        self.last_message_s: float | None = None
        self.resumed_s = -math.inf

    def decide(self, message: Message, now: float) -> list[Action]:
        """Take a message at a monotonic time in seconds."""
        self._note_pause(now)
        match message:
            case Tick():
                return [*self._expire(now), *self._probe(now)]
            case Unreached():
                return self._unreached(message, now)
            case Learned(states):
                return self._learn(states, now)
            case Leave():
                return self._restate(leaving=True)

    def live(self) -> list[PeerState]:
        """List the other live hosts of the zone."""
        return [
            member.state
            for member in self.members.values()
            if is_live(member.state)
        ]

    def some_live(self) -> list[PeerState]:
        """Choose a few live hosts of the zone to tell something."""
        live = self.live()
        return self.rng.sample(live, min(SPREAD_TARGETS, len(live)))

    def news_for(self, name: str) -> list[PeerState]:
        """Return what a message to ``name`` carries.

        A host that is wrongly believed dead or suspect learns so first.
        """
        states = {state.name: state for state in self._take_news()}
        member = self.members.get(name)
        if member is not None and member.state.status != Status.alive:
            states[name] = member.state
        states[self.own.name] = self.own
        return list(states.values())

    def _take_news(self) -> list[PeerState]:
        return self.queue.take(len(self.members) + 1)

    def _note_pause(self, now: float) -> None:
        # A host that was stopped for a while has heard nobody and must not
        # hold that against the others.
        before = now if self.last_message_s is None else self.last_message_s
        self.last_message_s = now
        gap_s = now - before
        if gap_s <= self.timing.probe_s:
            return
        self.resumed_s = now
        for member in self.members.values():
            member.since_s += gap_s

    def _expire(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name, member in tuple(self.members.items()):
            age_s = now - member.since_s
            match Status(member.state.status):
                case Status.suspect if age_s >= self.timing.suspicion_s:
                    dead = with_status(member.state, Status.dead)
                    actions.extend(self._replace(dead, now))
                case Status.dead if age_s >= TOMBSTONE_KEEP_S:
                    self.members.pop(name)
        return actions

    def _probe(self, now: float) -> list[Action]:
        if now < self.next_probe_s:
            return []
        self.next_probe_s = now + self.timing.probe_s
        live = {state.name: state for state in self.live()}
        if not live:
            return []
        self.order = [name for name in self.order if name in live]
        if not self.order:
            self.order = self.rng.sample(sorted(live), len(live))
        return [ProbeDirectly(live[self.order.pop()])]

    def _unreached(self, message: Unreached, now: float) -> list[Action]:
        member = self.members.get(message.target.name)
        if member is None or message.started_s < self.resumed_s:
            return []
        if member.state != message.target:
            return []
        helpers = () if message.indirect else self._helpers(member.state)
        if helpers:
            return [ProbeIndirectly(member.state, helpers)]
        if member.state.status != Status.alive:
            return []
        return self._replace(with_status(member.state, Status.suspect), now)

    def _helpers(self, target: PeerState) -> tuple[PeerState, ...]:
        near = [one for one in self.live() if one.name != target.name]
        far = list(self.outsiders)
        self.rng.shuffle(near)
        self.rng.shuffle(far)
        return tuple([*near, *far][:HELPERS])

    def _learn(
        self,
        states: tuple[PeerState, ...],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for state in states:
            if state.name == self.own.name:
                actions.extend(self._refute(state))
            else:
                actions.extend(self._learn_other(state, now))
        return _merged(actions)

    def _learn_other(self, state: PeerState, now: float) -> list[Action]:
        known = self.members.get(state.name)
        if known is None and not is_live(state):
            return []
        if known is not None and not is_newer(state, known.state):
            return []
        return self._replace(state, now)

    def _refute(self, state: PeerState) -> list[Action]:
        if state.incarnation != self.own.incarnation:
            return []
        accused = state.status != Status.alive
        if state.serial < self.own.serial or not accused:
            return []
        self.own = replace(self.own, serial=state.serial)
        return self._restate(leaving=self.own.leaving)

    def _restate(self, *, leaving: bool) -> list[Action]:
        serial = self.own.serial + 1
        self.own = replace(self.own, serial=serial, leaving=leaving)
        self.queue.add(self.own)
        return [self._spread(self.own)]

    def _replace(self, state: PeerState, now: float) -> list[Action]:
        known = self.members.get(state.name)
        before = known.state if known else None
        self.members[state.name] = Member(state, now)
        self.queue.add(state)
        actions: list[Action] = [self._spread(state)]
        if _look(before) != _look(state):
            actions.append(Changed(state, alive=is_live(state)))
        return actions

    def _spread(self, state: PeerState) -> Spread:
        targets = self.some_live()
        if state.name in self.members and state not in targets:
            # The accused itself is told first: only it can refute.
            targets.append(state)
        return Spread(tuple(targets), (state,))


def _look(state: PeerState | None) -> tuple:
    if state is None:
        return (False,)
    return is_live(state), state.leaving, state.incarnation, state.inner


def _merged(actions: list[Action]) -> list[Action]:
    # Much news at once travels with the probes, in bounded messages.
    spreads = [action for action in actions if isinstance(action, Spread)]
    if len(spreads) <= PIGGYBACK_LIMIT_STATES:
        return actions
    return [action for action in actions if not isinstance(action, Spread)]
