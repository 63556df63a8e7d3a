"""Input messages and output actions of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.wire.membership import PeerState


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer message."""


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A host did not respond to a probe.

    Attributes:
        target: its state as known when the probe was sent.
        started_s: monotonic time at which the probe was sent.
        indirect: whether the probe went through other hosts.
    """

    target: PeerState
    started_s: float
    indirect: bool


@dataclass(frozen=True, slots=True)
class StatesReceived:
    """Another host sent states of hosts of this zone."""

    states: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """This host starts to leave."""


@dataclass(frozen=True, slots=True)
class ProbeDirectly:
    """Action: probe a host."""

    target: PeerState


@dataclass(frozen=True, slots=True)
class ProbeIndirectly:
    """Action: ask other hosts to probe a host."""

    target: PeerState
    helpers: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class SendStates:
    """Action: send states to some hosts without waiting for a probe."""

    targets: tuple[PeerState, ...]
    states: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class HostChanged:
    """Action: notify subscribers that a host appeared, changed or died."""

    state: PeerState
    alive: bool


Message = Tick | ProbeFailed | StatesReceived | Leave
Action = ProbeDirectly | ProbeIndirectly | SendStates | HostChanged
