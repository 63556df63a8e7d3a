"""The time line as a table for a terminal."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator
from typing import Any

from celerywharf.timeline._clock import MICROSECONDS
from celerywharf.timeline._recorder import Event

COLUMNS = ('time', '+ms', 'host', 'event', 'details')
MICROS_PER_MILLISECOND = 1000


def rows(events: Iterable[Event]) -> Iterator[tuple[str, ...]]:
    """Yield the header and one row an event."""
    yield COLUMNS
    previous = 0
    for event in events:
        passed = event.stamp.micros - (previous or event.stamp.micros)
        previous = event.stamp.micros
        yield (
            clock_text(event.stamp.micros),
            f'{passed / MICROS_PER_MILLISECOND:.1f}',
            event.host,
            event.name,
            details_text(event),
        )


def clock_text(micros: int) -> str:
    """Return UTC time of day with milliseconds."""
    seconds, rest = divmod(micros, MICROSECONDS)
    moment = time.strftime('%H:%M:%S', time.gmtime(seconds))
    return f'{moment}.{rest // MICROS_PER_MILLISECOND:03d}'


def details_text(event: Event) -> str:
    """Return the further fields of an event as ``name=value`` words."""
    fields: dict[str, Any] = {}
    if event.request:
        fields['request'] = event.request
    if event.generation:
        fields['generation'] = event.generation
    fields.update(event.details)
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def align(table: Iterable[tuple[str, ...]]) -> Iterator[str]:
    """Yield lines whose columns stand below each other."""
    lines = list(table)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        yield '  '.join(cells).rstrip()
