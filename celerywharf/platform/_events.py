"""Splits an engine's event stream into whole events."""

from __future__ import annotations

from dataclasses import dataclass

ID_FIELD = b'id:'
EVENT_END = b'\n\n'
LARGEST_EVENT_BYTES = 1024 * 1024  # an engine that never ends an event


@dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        number: its id; None where it has none that is a number.
        text: its bytes with the empty line that ends it.
    """

    number: int | None
    text: bytes


class EventSplitter:
    """Holds back the bytes of an event until it is whole."""

    def __init__(self) -> None:
        self.incomplete = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Take bytes and return the events that they complete.

        Raises:
            ValueError: an event is larger than any engine sends.
        """
        whole = (self.incomplete + chunk).split(EVENT_END)
        self.incomplete = whole.pop()
        if len(self.incomplete) > LARGEST_EVENT_BYTES:
            raise ValueError('event without end')
        return [Event(_number(text), text + EVENT_END) for text in whole]


def _number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(ID_FIELD):
            digits = line.removeprefix(ID_FIELD).strip()
            return int(digits) if digits.isdigit() else None
    return None
