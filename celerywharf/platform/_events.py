"""Splits an engine's server-sent event stream into numbered events."""

from __future__ import annotations

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
    """Buffers the bytes of an event until the event is complete."""

    def __init__(self) -> None:
        self.buffer = EventBuffer()

    @property
    def incomplete(self) -> bool:
        """Return whether the last event received is not complete."""
        return bool(self.buffer.incomplete)

    def feed(self, chunk: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        Raises:
            ValueError: an event exceeds the size limit.
        """
        return [
            Event(_event_number(text), text + EVENT_END)
            for text in self.buffer.feed(chunk)
        ]


def _event_number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(ID_FIELD):
            digits = line.removeprefix(ID_FIELD).strip()
            valid = digits.isdigit() and len(digits) <= MAX_ID_DIGITS
            return int(digits) if valid else None
    return None
