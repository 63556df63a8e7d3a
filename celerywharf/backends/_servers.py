"""Descriptions of backend servers, as they publish them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from celerywharf.structures import Address


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        name: its id; a later incarnation may reuse it.
        service: name of the service it belongs to.
        address: where it listens; another backend server may reuse it later.
        availability_zone: where it runs.
        slots: number of requests it runs concurrently.
        draining: it is shutting down and accepts no new requests.
        born_ms: start of the incarnation, Unix milliseconds.
        sequence: increases with each entry that the incarnation publishes.
        warm_up_left_s: seconds for which it is still slow after its start.
        software_version: of its program, not of the weights; empty if it is
            not stated.
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
    software_version: str = ''

    @property
    def incarnation(self) -> str:
        """Return a name that no other incarnation of any server has."""
        return f'{self.name}/{self.born_ms}'


def server_name(incarnation: str) -> str:
    """Return the name of the server that an incarnation belongs to."""
    return incarnation.rpartition('/')[0]


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a server at the moment of an answer, as far as it is stated.

    Attributes:
        running: requests that hold a slot; None if not known, as are the next
            two then.
        waiting: requests in its queue.
        slots: number of requests it runs concurrently.
        pace: how long work takes on its machine, 1 as usual; None if unknown.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Load of an engine as it was some hundred milliseconds ago.

    Attributes:
        waiting: requests in its queue.
        running: requests that hold a slot.
        prefilling: running requests that have not produced an event yet.
        used_tokens: token memory in use that cannot be evicted.
        capacity_tokens: total token memory.
        born_ms: start of the incarnation, Unix milliseconds; 0 if unknown.
        answering: ids of the requests that have produced an event.
        events: how many events each of them has produced, by id, if stated.
    """

    waiting: int
    running: int
    prefilling: int
    used_tokens: int
    capacity_tokens: int
    born_ms: int
    answering: frozenset[str] = frozenset()
    events: Mapping[str, int] = field(default_factory=dict)
