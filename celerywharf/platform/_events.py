"""Splits an engine's server-sent event stream into complete events."""

from __future__ import annotations

from dataclasses import dataclass

ID_FIELD = b'id:'
EVENT_END = b'\n\n'
# Bounds the memory used when an engine never ends an event.
MAX_EVENT_BYTES = 1024 * 1024


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
    """Buffers the bytes of an event until the event is complete.

    Attributes:
        incomplete: bytes received after the last complete event.
    """

    def __init__(self) -> None:
        self.incomplete = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        Raises:
            ValueError: an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        complete = (self.incomplete + chunk).split(EVENT_END)
        self.incomplete = complete.pop()
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise ValueError('event exceeds the size limit')
        return [
            Event(_event_number(text), text + EVENT_END) for text in complete
        ]


def _event_number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(ID_FIELD):
            digits = line.removeprefix(ID_FIELD).strip()
            return int(digits) if digits.isdigit() else None
    return None
