"""Keeps the events of a host in the object store."""

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
SLOT_S = 60
ROUTINE = frozenset(
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
    """It is time to ship."""


@dataclass(frozen=True, slots=True)
class Shipped:
    """A batch is in the object store, up to an event number."""

    number: int


@dataclass(frozen=True, slots=True)
class NotShipped:
    """The object store did not take the batch; the next tick retries."""


class Shipper(Part):
    """Ships batches; what the recorder drops meanwhile is lost and counted."""

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.shipped = 0
        self.busy = False

    def start(self) -> None:
        """Subscribe to time and begin."""
        super().start()
        self.host.timers.every(SHIP_PERIOD_S, self.post, Tick())

    def handle(self, message: Any) -> None:
        """Ship at a tick; note the outcome."""
        match message:
            case Tick() if not self.busy:
                self._begin()
            case Shipped(number):
                self.shipped = max(self.shipped, number)
                self.busy = False
            case NotShipped():
                self.busy = False

    async def stop(self) -> None:
        """Ship what is left, then stop."""
        await super().stop()
        await self.flush()

    async def flush(self) -> None:
        """Ship what is left."""
        events = self.host.recorder.since(self.shipped)
        if events:
            await self._ship(events)

    def _begin(self) -> None:
        events = self.host.recorder.since(self.shipped)
        if not events:
            return
        missing = events[0].number - self.shipped - 1
        if missing:
            self.host.metrics.count('timeline_events_lost', missing)
        self.busy = True
        self.spawn(self._ship(events))

    async def _ship(self, events: list[Event]) -> None:
        last = events[-1].number
        name = object_name(events[0], time.time())
        content = pack(sample(events, BATCH_LIMIT_EVENTS))
        try:
            await self.host.platform.put_object(name, content)
        except CelerywharfError as error:
            logger.info('time line not shipped: %s', error)
            self.post(NotShipped())
            return
        self.post(Shipped(last))


def object_name(first: Event, wall_s: float) -> str:
    """Return the name of the batch that begins with an event.

    Names sort by time, so that a question about the last minutes lists only
    those; a batch sent twice has one name.
    """
    slot = int(wall_s) // SLOT_S * SLOT_S
    run = f'{first.host}.{first.incarnation}.{first.number:012d}'
    return f'timeline/{slot}/{run}'


def sample(events: list[Event], limit: int) -> list[Event]:
    """Drop routine events of some requests when there are too many.

    A request is kept or dropped whole, and alike on every host, since the
    choice hangs on the hash of its generation or request id alone.
    """
    if len(events) <= limit:
        return events
    routine = sum(event.name in ROUTINE for event in events)
    notable = len(events) - routine
    kept_ratio = max(limit - notable, 0) / max(routine, 1)
    bound = int(kept_ratio * HASH_RANGE)
    return [
        event
        for event in events
        if event.name not in ROUTINE or _hash(event) < bound
    ]


def _hash(event: Event) -> int:
    return xxhash.xxh64_intdigest((event.generation or event.request).encode())
