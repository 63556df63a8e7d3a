"""Messages among fronts about hosts that take in requests of others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """A host that takes in requests of others.

    Attributes:
        name: name of the host.
        availability_zone: its zone.
        address: where it serves other hosts, ``ip:port``.
        key: proves to it that a request comes from a host.
        load: requests of other hosts that it is serving.
        cut_off: services that it does not reach.
    """

    name: str
    availability_zone: str
    address: str
    key: bytes
    load: int
    cut_off: list[str]


@dataclass(frozen=True, slots=True)
class PeerQuestion:
    """Asks for hosts that reach a service; the reply is a ``PeerAnswer``.

    Attributes:
        service: name of the service.
        passed_on: it comes from another zone's host.
    """

    service: str
    passed_on: bool


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Some hosts that reach a service.

    Attributes:
        peers: the hosts.
    """

    peers: list[PeerEntry]
