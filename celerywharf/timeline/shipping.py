"""Stores the events of a host in the object store, in batches."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import xxhash

from celerywharf.exceptions import CelerywharfError
from celerywharf.tasks import Part
from celerywharf.timeline._recorder import Event
from celerywharf.timeline.records import pack

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

SHIP_PERIOD_S = 5.0
BATCH_LIMIT_EVENTS = 2000
# Length of the period whose batches share a name prefix.
SLOT_S = 60
ROUTINE_EVENTS = frozenset(
    (
        'request_accepted',
        'attempt_started',
        'first_token',
        'delivered',
        'claimed',
        'answered',
    )
)
HASH_BITS = 64
HASH_RANGE = 2**HASH_BITS


@dataclass(frozen=True, slots=True)
class Tick:
    """Posted every ``SHIP_PERIOD_S``."""


@dataclass(frozen=True, slots=True)
class Shipped:
    """A batch has been stored.

    Attributes:
        number: number of its last event.
    """

    number: int


@dataclass(frozen=True, slots=True)
class NotShipped:
    """A batch is not known to be stored; the next tick retries."""


class Shipper(Part):
    """Stores new events periodically.

    Events that the recorder drops before they are stored are lost; they are
    counted in the metric ``timeline_events_lost``.

    Attributes:
        last_shipped: number of the last stored event.
        shipping: whether a batch is being stored.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.last_shipped = 0
        self.shipping = False

    def start(self) -> None:
        """Start storing batches periodically."""
        super().start()
        self.host.timers.every(SHIP_PERIOD_S, self.post, Tick())

    def handle(self, message: Any) -> None:
        """Store a batch at a tick, or apply the outcome of the last one."""
        match message:
            case Tick() if not self.shipping:
                self._start_shipping()
            case Shipped(number):
                self.last_shipped = max(self.last_shipped, number)
                self.shipping = False
            case NotShipped():
                self.shipping = False

    async def stop(self) -> None:
        """Stop, then store the remaining events."""
        await super().stop()
        await self.flush()

    async def flush(self) -> None:
        """Store the remaining events; they are lost if that fails."""
        events = self.host.recorder.since(self.last_shipped)
        if events:
            await self._ship(events)

    def _start_shipping(self) -> None:
        events = self.host.recorder.since(self.last_shipped)
        if not events:
            return
        lost_count = events[0].number - self.last_shipped - 1
        if lost_count:
            self.host.metrics.count('timeline_events_lost', lost_count)
        self.shipping = True
        self.spawn(self._ship(events))

    async def _ship(self, events: list[Event]) -> None:
        last_number = events[-1].number
        name = object_name(events[0], time.time())
        content = pack(sample(events, BATCH_LIMIT_EVENTS))
        try:
            await self.host.platform.put_object(name, content)
        except CelerywharfError as error:
            logger.info('timeline batch not stored: %s', error)
            self.post(NotShipped())
            return
        self.post(Shipped(last_number))


def object_name(first: Event, wall_s: float) -> str:
    """Return the name of the batch that begins with an event.

    The name contains the time slot, so that a query lists only the slots it
    needs.  A batch that is sent again in the same slot has the same name.
    """
    slot = int(wall_s) // SLOT_S * SLOT_S
    run_name = f'{first.host}.{first.incarnation}.{first.number:012d}'
    return f'timeline/{slot}/{run_name}'


def sample(events: list[Event], limit: int) -> list[Event]:
    """Drop routine events of some requests when there are too many.

    The routine events of a request are all kept or all dropped, and other
    events are always kept.  The choice depends only on the hash of the
    generation id, or of the request id without one, so that hosts agree on
    it; a host that has to drop more keeps a subset.
    """
    if len(events) <= limit:
        return events
    routine = sum(event.name in ROUTINE_EVENTS for event in events)
    notable = len(events) - routine
    keep_ratio = max(limit - notable, 0) / max(routine, 1)
    hash_limit = int(keep_ratio * HASH_RANGE)
    return [
        event
        for event in events
        if event.name not in ROUTINE_EVENTS or _hash(event) < hash_limit
    ]


def _hash(event: Event) -> int:
    return xxhash.xxh64_intdigest((event.generation or event.request).encode())
