"""The few hosts known of each other availability zone."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from celerywharf.membership.states import is_live, is_newer
from celerywharf.wire.membership import PeerState

SAMPLES_PER_ZONE = 3
SAMPLE_KEEP_S = 60.0


class Samples:
    """A bounded sample of the hosts of every other zone.

    Attributes:
        zones: per zone the hosts by name.
        heard_s: when each host was last vouched for.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.zones: dict[str, dict[str, PeerState]] = {}
        self.heard_s: dict[str, float] = {}
        self.turn = 0

    def learn(
        self,
        states: Iterable[PeerState],
        now: float,
    ) -> list[PeerState]:
        """Take statements about hosts; return those that changed a sample."""
        changed = [state for state in states if self._take(state, now)]
        self._forget(now)
        return changed

    def drop(self, name: str) -> PeerState | None:
        """Forget a host that did not answer."""
        self.heard_s.pop(name, None)
        for hosts in self.zones.values():
            if name in hosts:
                return hosts.pop(name)
        return None

    def all(self) -> list[PeerState]:
        """List the hosts of all samples."""
        return [
            state for hosts in self.zones.values() for state in hosts.values()
        ]

    def of(self, availability_zone: str) -> list[PeerState]:
        """List the sampled hosts of one zone."""
        return list(self.zones.get(availability_zone, {}).values())

    def find(self, name: str) -> PeerState | None:
        """Find a sampled host by name."""
        found = [state for state in self.all() if state.name == name]
        return found[0] if found else None

    def next_to_ask(self) -> PeerState | None:
        """Choose a host to refresh the sample of its zone, zones in turn."""
        zones = sorted(zone for zone, hosts in self.zones.items() if hosts)
        if not zones:
            return None
        self.turn += 1
        hosts = self.of(zones[self.turn % len(zones)])
        return self.rng.choice(hosts)

    def one_a_zone(self) -> list[PeerState]:
        """Choose one host of each zone."""
        return [
            self.rng.choice(list(hosts.values()))
            for hosts in self.zones.values()
            if hosts
        ]

    def _take(self, state: PeerState, now: float) -> bool:
        hosts = self.zones.setdefault(state.availability_zone, {})
        known = hosts.get(state.name)
        if not is_live(state):
            return self._bury(state, known)
        if known is None and len(hosts) >= SAMPLES_PER_ZONE:
            return False
        if known is not None and not is_newer(state, known):
            self.heard_s[state.name] = now
            return False
        hosts[state.name] = state
        self.heard_s[state.name] = now
        return True

    def _bury(self, state: PeerState, known: PeerState | None) -> bool:
        if known is None or not is_newer(state, known):
            return False
        self.drop(state.name)
        return True

    def _forget(self, now: float) -> None:
        for name, heard_s in tuple(self.heard_s.items()):
            if now - heard_s > SAMPLE_KEEP_S:
                self.drop(name)
