"""A bounded memory of the events of one process."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from celerywharf.timeline._clock import HybridClock, Stamp

logger = logging.getLogger(__name__)

EVENT_LIMIT = 20_000


@dataclass(frozen=True, slots=True)
class Event:
    """An event of the timeline.

    Attributes:
        stamp: hybrid time of the event.
        host: name of the process that recorded the event.
        incarnation: incarnation of that process.
        number: number of the event within the incarnation, from 1 without
            gaps, so that lost events can be detected.
        name: name of the event, such as ``attempt_started``.
        request: request id or empty.
        generation: generation id or empty.
        details: further fields, JSON values.
    """

    stamp: Stamp
    host: str
    incarnation: int
    number: int
    name: str
    request: str = ''
    generation: str = ''
    details: dict[str, Any] = field(default_factory=dict)

    @property
    def identity(self) -> tuple[str, int, int]:
        """Return a key that is unique and equal in all copies of the event."""
        return self.host, self.incarnation, self.number


class Recorder:
    """Records events in memory; the oldest are dropped when it is full.

    Attributes:
        events: the latest ``EVENT_LIMIT`` events, oldest first.
        recorded: number of events recorded, including dropped ones.
    """

    def __init__(
        self,
        host: str,
        clock: HybridClock,
        incarnation: int = 0,
    ) -> None:
        self.host = host
        self.clock = clock
        self.incarnation = incarnation
        self.events: deque[Event] = deque(maxlen=EVENT_LIMIT)
        self.recorded = 0

    def record(
        self,
        name: str,
        *,
        request: str = '',
        generation: str = '',
        **details: Any,
    ) -> None:
        """Record an event with the current time.

        The event is also logged at debug level.
        """
        self.recorded += 1
        event = Event(
            self.clock.tick(),
            self.host,
            self.incarnation,
            self.recorded,
            name,
            request,
            generation,
            details,
        )
        self.events.append(event)
        if logger.isEnabledFor(logging.DEBUG):
            _log_event(event)

    def since(self, number: int) -> list[Event]:
        """Return the events in memory with a number above ``number``."""
        count = min(self.recorded - number, len(self.events))
        if count <= 0:
            return []
        return [self.events[index] for index in range(-count, 0)]


def _log_event(event: Event) -> None:
    details = {f'event_{key}': value for key, value in event.details.items()}
    logger.debug(
        event.name,
        extra={
            'event': event.number,
            'request_id': event.request,
            'generation': event.generation,
            **details,
        },
    )
