"""Messages that ask hosts for the events in their memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventRecord:
    """The wire form of an event; see ``celerywharf.timeline.Event``.

    Attributes:
        micros: hybrid time, microseconds since 1970.
        count: hybrid time, counter within the microsecond.
        host: name of the process that recorded the event.
        incarnation: incarnation of that process.
        number: number of the event within the incarnation, from 1.
        name: name of the event.
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
    """Asks for events.

    Attributes:
        request: request id, empty to match all.
        generation: generation id, empty to match all.
        since_micros: earliest hybrid time, microseconds since 1970.
        limit: largest number of events in the reply; the latest are kept.
    """

    request: str
    generation: str
    since_micros: int
    limit: int


@dataclass(frozen=True, slots=True)
class TimelineAnswer:
    """The reply to ``TimelineQuery``.

    Attributes:
        events: events that match the query, oldest first.
        complete: False when events are missing because of the limit or
            because the bounded memory has dropped some.
    """

    events: list[EventRecord]
    complete: bool
