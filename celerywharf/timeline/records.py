"""Converts events to wire records and to JSON lines, and back."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

from celerywharf.timeline._clock import Stamp
from celerywharf.timeline._recorder import Event
from celerywharf.wire.timelines import EventRecord, TimelineQuery


def to_record(event: Event) -> EventRecord:
    """Return the wire form of an event.

    Details that JSON cannot represent are converted to text.
    """
    return EventRecord(
        event.stamp.micros,
        event.stamp.count,
        event.host,
        event.incarnation,
        event.number,
        event.name,
        event.request,
        event.generation,
        json.dumps(event.details, default=str),
    )


def from_record(record: EventRecord) -> Event:
    """Return the event in its wire form."""
    return Event(
        Stamp(record.micros, record.count),
        record.host,
        record.incarnation,
        record.number,
        record.name,
        record.request,
        record.generation,
        json.loads(record.details_json),
    )


def to_json(event: Event) -> dict[str, Any]:
    """Return the JSON object of an event."""
    return {
        'micros': event.stamp.micros,
        'count': event.stamp.count,
        'host': event.host,
        'incarnation': event.incarnation,
        'number': event.number,
        'event': event.name,
        'request': event.request,
        'generation': event.generation,
        'details': event.details,
    }


def from_json(fields: dict[str, Any]) -> Event:
    """Return the event of a JSON object.

    Raises:
        KeyError: the object is not an event.
    """
    return Event(
        Stamp(fields['micros'], fields['count']),
        fields['host'],
        fields['incarnation'],
        fields['number'],
        fields['event'],
        fields.get('request', ''),
        fields.get('generation', ''),
        fields.get('details', {}),
    )


def pack(events: Iterable[Event]) -> bytes:
    """Return a batch for the object store: compressed JSON lines."""
    lines = (json.dumps(to_json(event), default=str) for event in events)
    return zlib.compress('\n'.join(lines).encode())


def unpack(batch: bytes) -> Iterator[Event]:
    """Yield the events of a batch."""
    for line in zlib.decompress(batch).decode().splitlines():
        yield from_json(json.loads(line))


def matches(event: Event, query: TimelineQuery) -> bool:
    """Return whether an event matches a query; the limit is not applied."""
    if event.stamp.micros < query.since_micros:
        return False
    if query.request and event.request != query.request:
        return False
    return not query.generation or event.generation == query.generation
