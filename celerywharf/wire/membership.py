"""Messages about which hosts are alive and which backend servers leave."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerState:
    """The state of a host, as the sender knows it.

    Attributes:
        name: name of the host, unique among hosts.
        region: region of the host.
        availability_zone: availability zone of the host.
        inner: address for other hosts, ``ip:port``.
        edge: address for callers, ``ip:port``.
        incarnation: increases with each start of the process.
        serial: increases with each update that the process publishes about
            itself.
        status: value of ``celerywharf.membership.states.Status``.
        leaving: whether the host takes no new work.
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
    """Reports that a backend server is leaving, or no longer leaving.

    Attributes:
        backend_server: name of the server.
        stamp: time of the observation, microseconds since 1970; the highest
            one wins.
        leaving: whether the server takes no new work.
    """

    backend_server: str
    stamp: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class Gossip:
    """Recent changes, sent alone or as the reply to a probe.

    Its length is bounded.
    """

    states: list[PeerState]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class Probe:
    """Checks that a host is alive; the reply is a ``Gossip``."""

    states: list[PeerState]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks another host to probe ``target``.

    The reply is an error when the target does not answer.

    Attributes:
        target: name of the host to probe.
        inner: inner address of the host to probe.
    """

    target: str
    inner: str


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for all known hosts of a zone and a sample of other zones.

    Attributes:
        states: state of the requesting host.
    """

    states: list[PeerState]


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """Asks a host of another zone for a few hosts of its zone.

    Attributes:
        states: a few hosts of the requesting host's zone.
        names: names of hosts whose state is returned first.
        notices: notices in force at the requesting host.
    """

    states: list[PeerState]
    names: list[str]
    notices: list[Notice]


@dataclass(frozen=True, slots=True)
class FindRequest:
    """Asks for a host of the receiver's zone by name."""

    name: str


@dataclass(frozen=True, slots=True)
class View:
    """The reply to ``ViewRequest``, ``SampleRequest`` and ``FindRequest``."""

    states: list[PeerState]
    notices: list[Notice]
