"""What goes into the failure detector and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.wire.membership import PeerState


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Unreached:
    """A host did not answer a probe.

    Attributes:
        target: what was known of it when the probe was sent.
        started_s: when the probe was sent.
        indirect: other hosts were asked and could not reach it either.
    """

    target: PeerState
    started_s: float
    indirect: bool


@dataclass(frozen=True, slots=True)
class Learned:
    """Another host said something about hosts of this zone."""

    states: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """This host begins to leave."""


@dataclass(frozen=True, slots=True)
class ProbeDirectly:
    """Action: probe a host."""

    target: PeerState


@dataclass(frozen=True, slots=True)
class ProbeIndirectly:
    """Action: let other hosts probe a host."""

    target: PeerState
    helpers: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class Spread:
    """Action: send news to some hosts without waiting for the next probe."""

    targets: tuple[PeerState, ...]
    states: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class Changed:
    """Action: tell the other parts that a host came, changed or went."""

    state: PeerState
    alive: bool


Message = Tick | Unreached | Learned | Leave
Action = ProbeDirectly | ProbeIndirectly | Spread | Changed
