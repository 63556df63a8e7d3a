"""A bounded store of events of one process."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from celerywharf.timeline._clock import HybridClock, Stamp

EVENT_LIMIT = 20_000


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened.

    Attributes:
        stamp: when, by the hybrid clock.
        host: process that recorded it.
        name: what, such as ``attempt_started``.
        request: request id, empty when none.
        generation: generation id, empty when none.
        details: further fields, JSON values.
    """

    stamp: Stamp
    host: str
    name: str
    request: str = ''
    generation: str = ''
    details: dict[str, Any] = field(default_factory=dict)


class Recorder:
    """Records events; the oldest are dropped when it is full."""

    def __init__(self, host: str, clock: HybridClock) -> None:
        self.host = host
        self.clock = clock
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
        stamp = self.clock.tick()
        self.recorded += 1
        self.events.append(
            Event(stamp, self.host, name, request, generation, details),
        )
