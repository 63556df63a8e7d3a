"""A bounded sample of the hosts of each other availability zone."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from celerywharf.membership.states import is_live, is_newer
from celerywharf.wire.membership import PeerState

SAMPLE_SIZE = 3
SAMPLE_RETENTION_S = 60.0


class Samples:
    """At most SAMPLE_SIZE live hosts of each other availability zone.

    Attributes:
        zones: for each zone, the sampled hosts by name.
        confirmed_s: monotonic time at which each host was last reported
            live.
        refresh_count: number of refreshes so far, to alternate the zones.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.zones: dict[str, dict[str, PeerState]] = {}
        self.confirmed_s: dict[str, float] = {}
        self.refresh_count = 0

    def apply(
        self,
        states: Iterable[PeerState],
        now: float,
    ) -> list[PeerState]:
        """Apply received states; return those that changed a sample.

        Also drops the hosts not confirmed within SAMPLE_RETENTION_S.
        """
        changed = [state for state in states if self._apply_state(state, now)]
        self._expire(now)
        return changed

    def drop(self, name: str) -> PeerState | None:
        """Remove a host; return its state, or None when it is not sampled."""
        self.confirmed_s.pop(name, None)
        for hosts in self.zones.values():
            if name in hosts:
                return hosts.pop(name)
        return None

    def all(self) -> list[PeerState]:
        """Return the hosts of all samples."""
        return [
            state for hosts in self.zones.values() for state in hosts.values()
        ]

    def of(self, availability_zone: str) -> list[PeerState]:
        """Return the sampled hosts of one zone."""
        return list(self.zones.get(availability_zone, {}).values())

    def find(self, name: str) -> PeerState | None:
        """Return the sampled host of this name, or None."""
        found = [state for state in self.all() if state.name == name]
        return found[0] if found else None

    def next_refresh_target(self) -> PeerState | None:
        """Choose a host to refresh its zone's sample; zones take turns.

        Returns None when no host of another zone is known.
        """
        zones = sorted(zone for zone, hosts in self.zones.items() if hosts)
        if not zones:
            return None
        self.refresh_count += 1
        hosts = self.of(zones[self.refresh_count % len(zones)])
        return self.rng.choice(hosts)

    def one_per_zone(self) -> list[PeerState]:
        """Choose a random sampled host of each zone."""
        return [
            self.rng.choice(list(hosts.values()))
            for hosts in self.zones.values()
            if hosts
        ]

    def _apply_state(self, state: PeerState, now: float) -> bool:
        hosts = self.zones.setdefault(state.availability_zone, {})
        known = hosts.get(state.name)
        if not is_live(state):
            return self._remove_dead(state, known)
        if known is None and len(hosts) >= SAMPLE_SIZE:
            return False
        if known is not None and not is_newer(state, known):
            self.confirmed_s[state.name] = now
            return False
        hosts[state.name] = state
        self.confirmed_s[state.name] = now
        return True

    def _remove_dead(self, state: PeerState, known: PeerState | None) -> bool:
        if known is None or not is_newer(state, known):
            return False
        self.drop(state.name)
        return True

    def _expire(self, now: float) -> None:
        for name, confirmed_s in tuple(self.confirmed_s.items()):
            if now - confirmed_s > SAMPLE_RETENTION_S:
                self.drop(name)
