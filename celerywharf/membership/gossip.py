"""Which news travels on the next message."""

from __future__ import annotations

import math

from celerywharf.wire.membership import PeerState

PIGGYBACK_LIMIT_STATES = 8
REPEATS_PER_DOUBLING = 3


class GossipQueue:
    """News not yet told often enough; the least told goes first.

    Each piece is sent a number of times that grows with the logarithm of the
    zone's size, which is what an epidemic needs to reach everyone.
    """

    def __init__(self) -> None:
        self.states: dict[str, PeerState] = {}
        self.sent: dict[str, int] = {}

    def add(self, state: PeerState) -> None:
        """Queue news; older news about the same host is dropped."""
        self.states[state.name] = state
        self.sent[state.name] = 0

    def take(self, zone_size: int) -> list[PeerState]:
        """Return what the next message carries."""
        repeats = REPEATS_PER_DOUBLING * math.ceil(math.log2(zone_size + 1))
        names = sorted(self.states, key=self.sent.__getitem__)
        chosen = names[:PIGGYBACK_LIMIT_STATES]
        taken = [self.states[name] for name in chosen]
        for name in chosen:
            self.sent[name] += 1
            if self.sent[name] >= repeats:
                self.states.pop(name)
                self.sent.pop(name)
        return taken
