"""Messages that ask hosts for the events they remember."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventRecord:
    """An event as it travels; see ``celerywharf.timeline.Event``.

    Attributes:
        micros: hybrid time, microseconds since 1970.
        count: hybrid time, counter within the microsecond.
        host: process that recorded it.
        incarnation: which run of the process.
        number: position among the events of that run.
        name: what happened.
        request: request id or empty.
        generation: generation id or empty.
        details_json: further fields as a JSON object.
    """

    micros: int
    count: int
    host: str
    incarnation: int
    number: int
    name: str
    request: str
    generation: str
    details_json: str


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Which events are wanted; empty text matches all.

    Attributes:
        request: request id.
        generation: generation id.
        since_micros: earliest hybrid time.
        limit: most events in the answer, the latest are kept.
    """

    request: str
    generation: str
    since_micros: int
    limit: int


@dataclass(frozen=True, slots=True)
class TimelineAnswer:
    """The events asked for, oldest first.

    Attributes:
        events: what was found.
        complete: False when the limit or the memory's bound cut some off.
    """

    events: list[EventRecord]
    complete: bool
