"""Splits the bytes of a server-sent event stream at the ends of events."""

from __future__ import annotations

from celerywharf.units import SMALL_MESSAGE_BYTES

EVENT_END = b'\n\n'
# Events hold a few tokens of text, well below this.
MAX_EVENT_BYTES = SMALL_MESSAGE_BYTES


class EventBuffer:
    """Buffers the bytes of an event until the event is complete.

    Each byte is searched once, however small the pieces are in which an event
    arrives.

    Attributes:
        incomplete: bytes received after the last complete event.
    """

    def __init__(self) -> None:
        self.incomplete = bytearray()

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete.

        Returns:
            The events without the empty line at their ends.

        Raises:
            ValueError: an event exceeds ``MAX_EVENT_BYTES``.
        """
        buffer = self.incomplete
        # The first half of the end may have been received before.
        searched = max(0, len(buffer) - len(EVENT_END) + 1)
        buffer += chunk
        events = []
        start = 0
        end = buffer.find(EVENT_END, searched)
        while end >= 0:
            events.append(bytes(buffer[start:end]))
            start = end + len(EVENT_END)
            end = buffer.find(EVENT_END, start)
        del buffer[:start]
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError('event exceeds the size limit')
        return events
