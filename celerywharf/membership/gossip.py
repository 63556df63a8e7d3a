"""Selection of the membership updates sent with each message."""

from __future__ import annotations

import math

from celerywharf.wire.membership import PeerState

MAX_PIGGYBACKED_STATES = 8
SENDS_PER_DOUBLING = 3


class GossipQueue:
    """Updates not yet sent often enough, least often sent first.

    Each update is sent a number of times that grows with the logarithm of
    the zone's size, as epidemic dissemination needs to reach every host.
    """

    def __init__(self) -> None:
        self.states: dict[str, PeerState] = {}
        self.send_counts: dict[str, int] = {}

    def add(self, state: PeerState) -> None:
        """Queue an update, replacing an earlier one about the same host."""
        self.states[state.name] = state
        self.send_counts[state.name] = 0

    def take(self, zone_size: int) -> list[PeerState]:
        """Return the updates for the next message and count them as sent."""
        max_sends = SENDS_PER_DOUBLING * math.ceil(math.log2(zone_size + 1))
        names = sorted(self.states, key=self.send_counts.__getitem__)
        chosen = names[:MAX_PIGGYBACKED_STATES]
        states = [self.states[name] for name in chosen]
        for name in chosen:
            self.send_counts[name] += 1
            if self.send_counts[name] >= max_sends:
                self.states.pop(name)
                self.send_counts.pop(name)
        return states
