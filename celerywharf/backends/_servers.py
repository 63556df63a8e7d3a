"""What a backend server says of itself."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.structures import Address


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        name: its id; may be used again by a later incarnation.
        service: what it serves.
        address: where it listens; may later belong to another one.
        availability_zone: where it stands.
        slots: requests it runs at a time.
        draining: it is leaving and takes no new work.
        born_ms: start of the incarnation, Unix milliseconds.
        sequence: rises with each entry of the incarnation.
        warm_up_left_s: how long it stays slow after its start.
    """

    name: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    draining: bool
    born_ms: int
    sequence: int
    warm_up_left_s: float


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Load of an engine, some hundred milliseconds old.

    Attributes:
        waiting: requests in its queue.
        running: requests that hold a slot.
        prefilling: those of them that have made no event.
        used_tokens: token memory that cannot yield.
        capacity_tokens: token memory in all.
        born_ms: start of the incarnation, Unix milliseconds; 0 if not told.
        answering: ids of the requests that have made an event.
    """

    waiting: int
    running: int
    prefilling: int
    used_tokens: int
    capacity_tokens: int
    born_ms: int
    answering: frozenset[str] = frozenset()
