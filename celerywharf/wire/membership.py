"""Messages about which entry hosts are alive."""

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
        status: ``alive``, ``suspect`` or ``dead``.
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
class ViewRequest:
    """Asks for all that a host knows of its zone, and a sample beyond it.

    Attributes:
        states: what the asking host says of itself and a few others.
    """

    states: list[PeerState]


@dataclass(frozen=True, slots=True)
class View:
    """The answer to ``ViewRequest``."""

    states: list[PeerState]
