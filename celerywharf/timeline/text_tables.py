"""Formats the timeline as a text table for a terminal."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator
from typing import Any

from celerywharf.timeline._clock import MICROS_PER_SECOND
from celerywharf.timeline._recorder import Event

COLUMNS = ('time', '+ms', 'host', 'event', 'details')
MICROS_PER_MILLISECOND = 1000


def event_rows(events: Iterable[Event]) -> Iterator[tuple[str, ...]]:
    """Yield the header and a row for each event."""
    yield COLUMNS
    previous = 0
    for event in events:
        elapsed_micros = event.stamp.micros - (previous or event.stamp.micros)
        previous = event.stamp.micros
        yield (
            clock_text(event.stamp.micros),
            f'{elapsed_micros / MICROS_PER_MILLISECOND:.1f}',
            event.host,
            event.name,
            details_text(event),
        )


def clock_text(micros: int) -> str:
    """Return the UTC time of day with milliseconds, such as 09:30:00.250."""
    seconds, rest = divmod(micros, MICROS_PER_SECOND)
    time_text = time.strftime('%H:%M:%S', time.gmtime(seconds))
    return f'{time_text}.{rest // MICROS_PER_MILLISECOND:03d}'


def details_text(event: Event) -> str:
    """Return ids and details of an event as ``name=value`` words."""
    fields: dict[str, Any] = {}
    if event.request:
        fields['request'] = event.request
    if event.generation:
        fields['generation'] = event.generation
    fields.update(event.details)
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def align(table: Iterable[tuple[str, ...]]) -> Iterator[str]:
    """Yield the rows of a table as lines with aligned columns."""
    lines = list(table)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        yield '  '.join(cells).rstrip()
