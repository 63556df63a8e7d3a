"""Encoding of steps and counts of roll-outs, for rows and for messages."""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from dataclasses import asdict, replace
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.platform import MAX_PERIOD_S, Row, StoreClient
from celerywharf.rollouts import (
    BUCKETS,
    RolloutStep,
    RouteTally,
    ServiceTally,
    Stage,
)
from celerywharf.units import MAX_EXACT_INTEGER, SMALL_MESSAGE_BYTES
from celerywharf.wire.rollouts import RouteCounts, ServiceCounts

# One row a service, which is the key.  Running fleets know this name.
STEP_TABLE = 'rollouts'
MAX_NAME = 200
# Half of what a row of the store holds; later steps of an order are longer.
MAX_STEP_BYTES = SMALL_MESSAGE_BYTES // 2

Name = Annotated[str, Field(max_length=MAX_NAME)]
Version = Annotated[str, Field(min_length=1, max_length=MAX_NAME)]
Names = tuple[Name, ...]
Count = Annotated[int, Field(ge=0, le=MAX_EXACT_INTEGER)]
Seconds = Annotated[float, Field(ge=0, le=MAX_EXACT_INTEGER)]


class _Step(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False, strict=True)

    to: Version
    order_version: Count
    period_s: float = Field(gt=0, le=MAX_PERIOD_S)
    started_s: Seconds
    stage: Stage
    share: float = Field(ge=0, le=1)
    move_s: Seconds
    replaced: Names
    barred: Names
    host: Name
    availability_zone: Name
    era: Count
    early_part: float = Field(default=0, ge=0, le=1)
    requests: Count
    exposed: Count
    peak: float = Field(default=0, ge=0)
    reason: str


def encode_step(step: RolloutStep) -> bytes:
    """Return the content of a service's row as JSON."""
    fields = asdict(step)
    fields.pop('service')
    return json.dumps(fields).encode()


def fit_row(step: RolloutStep, running: Collection[str]) -> RolloutStep:
    """Return a step without the barred versions that its row cannot hold.

    Args:
        step: the first step of an order.
        running: versions that have servers; they are dropped last.
    """
    left_bytes = MAX_STEP_BYTES - len(encode_step(replace(step, barred=())))
    with_servers = frozenset(step.barred).intersection(running)
    without = frozenset(step.barred) - with_servers
    barred = []
    for version in (*sorted(with_servers), *sorted(without)):
        left_bytes -= len(json.dumps(version)) + len(', ')
        if left_bytes < 0:
            break
        barred.append(version)
    return replace(step, barred=tuple(sorted(barred)))


def decode_step(service: str, content: bytes | None) -> RolloutStep | None:
    """Return the step in a service's row; None if it is unreadable."""
    try:
        step = _Step.model_validate_json(content or b'')
    except ValidationError:
        return None
    return RolloutStep(service, **step.model_dump())


def decode_row(row: Row) -> RolloutStep | None:
    """Return the step in a row of the store; None if it is unreadable.

    Also a step of an order that was written after the row is none.
    """
    step = decode_step(row.key, row.content)
    if step is None or step.order_version > row.version:
        return None
    return step


def to_message(tally: ServiceTally) -> ServiceCounts:
    """Convert counts to a message."""
    routes = [
        RouteCounts(route, is_new, **asdict(counted))
        for (route, is_new), counted in tally.routes.items()
    ]
    return ServiceCounts(
        tally.service,
        tally.order_version,
        tally.requests,
        tally.exposed,
        routes,
    )


def from_messages(counts: Iterable[ServiceCounts]) -> dict[str, ServiceTally]:
    """Convert messages to counts, by service; malformed ones are left out."""
    tallies = {}
    for each in counts:
        if min(each.requests, each.exposed) < 0:
            continue
        tally = ServiceTally(
            each.service, each.order_version, each.requests, each.exposed
        )
        for route in filter(_is_valid, each.routes):
            tally.routes[route.route, route.is_new] = _to_tally(route)
        tallies[each.service] = tally
    return tallies


def _to_tally(route: RouteCounts) -> RouteTally:
    return RouteTally(
        route.ended,
        route.failed,
        route.broken,
        list(route.first),
        list(route.pace),
        list(route.late),
    )


def _is_valid(route: RouteCounts) -> bool:
    lists = (route.first, route.pace, route.late)
    numbers = (route.ended, route.failed, route.broken)
    return all(len(each) == BUCKETS for each in lists) and (
        min(*numbers, *route.first, *route.pace, *route.late) >= 0
        and route.failed + route.broken <= route.ended
    )


async def read_steps(store: StoreClient) -> list[RolloutStep]:
    """Read the newest step of each service.

    Raises:
        PlatformUnavailableError: the store did not answer.
    """
    reading = await store.read(STEP_TABLE)
    steps = (decode_row(row) for row in reading.rows)
    return [step for step in steps if step is not None]
