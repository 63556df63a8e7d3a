"""Messages among fronts about roll-outs of software versions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteCounts:
    """Answers on one route since an order.

    Attributes:
        route: name of the route.
        is_new: they are of the new version; otherwise of the others.
        ended: sends that have ended.
        failed: those that were answered wrongly or too late.
        broken: those whose connection broke.
        first: sends by the time to the first event or whole answer.
        pace: streams by the mean time between two events.
        late: sends without a first event, by how long they have waited.
    """

    route: str
    is_new: bool
    ended: int
    failed: int
    broken: int
    first: list[int]
    pace: list[int]
    late: list[int]


@dataclass(frozen=True, slots=True)
class ServiceCounts:
    """What a host, or all hosts of a zone, have counted since an order.

    Attributes:
        service: name of the service.
        order_version: version of the row of the order.
        requests: of callers to the service.
        exposed: sends to the new version.
        routes: answers by route.
    """

    service: str
    order_version: int
    requests: int
    exposed: int
    routes: list[RouteCounts]


@dataclass(frozen=True, slots=True)
class RolloutQuestion:
    """Tells counts and asks for the newest steps.

    The reply is a ``RolloutAnswer``.

    Attributes:
        counts: of the sender, or of all hosts of its zone.
        availability_zone: the zone whose counts they are; empty if they are
            those of the sender alone.
    """

    counts: list[ServiceCounts]
    availability_zone: str


@dataclass(frozen=True, slots=True)
class StepRow:
    """A row with a step of a roll-out.

    Attributes:
        service: name of the service.
        content: the step as it is stored.
        version: version of the row.
    """

    service: str
    content: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RolloutAnswer:
    """The newest steps that a reader knows.

    Attributes:
        rows: a row for each service.
        age_s: seconds since the store last confirmed that they are current.
    """

    rows: list[StepRow]
    age_s: float
