"""Who gives a large content to which host of a zone."""

from __future__ import annotations

from dataclasses import dataclass, field

# The reader's link also carries its answers to all hosts of the zone.
READER_GIVES = 2  # at once
HOST_GIVES = 1  # at once, of those that the reader sends there
# A host that has not come back by then has failed or gone elsewhere.
MAX_TURN_S = 2.0
# Longer than hosts that start together take to get all contents.
KEPT_S = 60.0


@dataclass(frozen=True, slots=True)
class Giver:
    """A host that has a content.

    Attributes:
        address: where it serves other hosts, ``ip:port``; empty for the host
            that decides.
        key: proves to it that a question comes from a host of the zone.
    """

    address: str
    key: bytes


OWN = Giver('', b'')


@dataclass(slots=True)
class Turn:
    """A host that is getting a content.

    Attributes:
        giver: who gives it.
        asked_s: when the host last asked.
    """

    giver: Giver
    asked_s: float


@dataclass(slots=True)
class _Spread:
    """How far a content has spread.

    Attributes:
        givers: who has it, with the most hosts that each gives it to at once.
        turns: the hosts that are getting it, by name.
        asked_s: when a host last asked for it.
    """

    givers: dict[Giver, int] = field(
        default_factory=lambda: {OWN: READER_GIVES}
    )
    turns: dict[str, Turn] = field(default_factory=dict)
    asked_s: float = 0


class ContentTurns:
    """Decides from whom a host gets a large content, and when.

    Answers a configuration of megabytes that all hosts of a zone need at once
    from a reader whose link carries a few of them a second.  Each host that
    has the content gives it to others, one at a time, so the number of givers
    doubles in the time of one transfer.

    Attributes:
        spreads: by digest, in the order in which they were last asked for.
    """

    def __init__(self) -> None:
        self.spreads: dict[bytes, _Spread] = {}

    def ask(self, digest: bytes, host: str, now_s: float) -> Giver | None:
        """Return who gives a content to a host; None if all are busy."""
        spread = self.spreads.pop(digest, None) or _Spread()
        self.spreads[digest] = spread
        spread.asked_s = now_s
        self._drop_old(now_s)
        self._expire(spread, now_s)
        turn = spread.turns.pop(host, None)
        if turn is not None and turn.giver != OWN:
            # The host has come back without the whole.
            spread.givers.pop(turn.giver, None)
        if turn is not None and turn.giver == OWN:
            giver: Giver | None = OWN
        else:
            giver = _least_busy(spread)
        if giver is not None:
            spread.turns[host] = Turn(giver, now_s)
        return giver

    def end(self, digest: bytes, host: str) -> None:
        """Record that a host has been given the last piece."""
        spread = self.spreads.get(digest)
        if spread is not None:
            spread.turns.pop(host, None)

    def has_whole(self, digest: bytes, host: str, giver: Giver) -> None:
        """Record that a host has the whole and gives it to others."""
        spread = self.spreads.get(digest)
        if spread is not None:
            spread.turns.pop(host, None)
            spread.givers[giver] = HOST_GIVES

    def _drop_old(self, now_s: float) -> None:
        for digest, spread in tuple(self.spreads.items()):
            if now_s - spread.asked_s <= KEPT_S:
                break
            self.spreads.pop(digest)

    def _expire(self, spread: _Spread, now_s: float) -> None:
        for host, turn in tuple(spread.turns.items()):
            if now_s - turn.asked_s > MAX_TURN_S:
                spread.turns.pop(host)


def _least_busy(spread: _Spread) -> Giver | None:
    """Return a giver with room; other hosts go before the reader itself."""
    busy: dict[Giver, int] = {}
    for turn in spread.turns.values():
        busy[turn.giver] = busy.get(turn.giver, 0) + 1
    free = [
        giver
        for giver, most in spread.givers.items()
        if busy.get(giver, 0) < most
    ]
    return free[-1] if free else None
