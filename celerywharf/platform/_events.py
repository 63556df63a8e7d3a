"""Splits an engine's server-sent event stream into numbered events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from celerywharf.adapters.event_buffers import EVENT_END, EventBuffer

ID_FIELD = b'id:'
# An id with more digits is no number of an event.
MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes:
        number: the event id; None if it is missing or not a number.
        text: the raw bytes, including the empty line that ends the event.
    """

    number: int | None
    text: bytes


class EventSplitter:
    """Splits one answer into events, whose numbers increase.

    Attributes:
        buffer: holds the bytes of an event until it is complete.
        last_number: of the last event with a number; 0 before the first.
    """

    def __init__(self) -> None:
        self.buffer = EventBuffer()
        self.last_number = 0

    @property
    def incomplete(self) -> bool:
        """Return whether the last event received is not complete."""
        return bool(self.buffer.incomplete)

    def feed(self, chunk: bytes) -> Iterator[Event]:
        """Add received bytes and yield the events that they complete.

        Raises:
            ValueError: an event exceeds the size limit, or its number is not
                above that of the event before, as in no sound answer.
        """
        for text in self.buffer.feed(chunk):
            number = _event_number(text)
            if number is not None:
                if number <= self.last_number:
                    raise ValueError(f'event {number} repeated')
                self.last_number = number
            yield Event(number, text + EVENT_END)


def _event_number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(ID_FIELD):
            digits = line.removeprefix(ID_FIELD).strip()
            valid = digits.isdigit() and len(digits) <= MAX_ID_DIGITS
            return int(digits) if valid else None
    return None
