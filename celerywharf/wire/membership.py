"""Messages about which entry hosts are alive, and what is leaving."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerState:
    """What is known of one host.

    Attributes:
        name: unique among hosts.
        region: where it stands.
        availability_zone: where it stands.
        inner: address for other hosts, ``ip:port``.
        edge: address for callers, ``ip:port``.
        incarnation: rises with each start of the process.
        serial: rises with each statement of that process about itself.
        status: value of ``celerywharf.membership.states.Status``.
        leaving: it takes no new work.
    """

    name: str
    region: str
    availability_zone: str
    inner: str
    edge: str
    incarnation: int
    serial: int
    status: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class Notice:
    """A backend server was found to be leaving, or to be back.

    Attributes:
        backend_server: its name.
        stamp: microseconds since 1970 at which it was found; higher wins.
        leaving: whether it takes no new work.
    """

    backend_server: str
    stamp: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class Gossip:
    """News, sent alone or as the answer of a probe; bounded in length."""

    states: list[PeerState]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks for a sign of life; answered with ``Gossip``."""

    states: list[PeerState]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks a third host to probe ``target``; answered when that answers."""

    target: str
    inner: str


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for all that a host knows of its zone, and a sample beyond it.

    Attributes:
        states: what the asking host says of itself.
    """

    states: list[PeerState]


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """Asks a host of another zone for a few hosts of its zone.

    Attributes:
        states: a few hosts of the asking host's zone.
        names: hosts whose state is wanted first.
        notices: what the asking host found leaving.
    """

    states: list[PeerState]
    names: list[str]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class FindRequest:
    """Asks for one host of the answering host's zone by name."""

    name: str


@dataclass(frozen=True, slots=True)
class View:
    """The answer to the three requests above."""

    states: list[PeerState]
    notices: list[Notice]
