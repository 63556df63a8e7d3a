"""A bounded store of events of one process."""

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
    """One thing that happened.

    Attributes:
        stamp: when, by the hybrid clock.
        host: process that recorded it.
        incarnation: which run of the process.
        number: counts the events of a run from 1, so that gaps are seen.
        name: what, such as ``attempt_started``.
        request: request id, empty when none.
        generation: generation id, empty when none.
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
        """Return what is the same in every copy of this event."""
        return self.host, self.incarnation, self.number


class Recorder:
    """Records events; the oldest are dropped when it is full."""

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
        """Record an event now."""
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
            _log(event)

    def since(self, number: int) -> list[Event]:
        """Return the events kept whose number is above ``number``."""
        wanted = min(self.recorded - number, len(self.events))
        if wanted <= 0:
            return []
        return [self.events[index] for index in range(-wanted, 0)]


def _log(event: Event) -> None:
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
