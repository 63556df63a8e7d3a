"""Which prompt prefixes an engine seems to hold in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

PREFIX_LIMIT = 4096
MISSED_EVENTS_TOLERATED = 256


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine stored or evicted a prefix.

    Attributes:
        number: rises by one; some events never arrive.
        stored: False when it was evicted.
        prefix: hash of the prompt's first characters.
    """

    number: int
    stored: bool
    prefix: str


class PrefixIndex:
    """Built from events that come late and with gaps, so only a hint.

    Each missing event may have evicted something.  A prefix is believed
    until more events are missing since its own than are tolerated.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.last_number = 0
        self.missed = 0
        self.stored: OrderedDict[str, int] = OrderedDict()

    def learn(self, incarnation: int, events: Iterable[CacheEvent]) -> None:
        """Take events; a new incarnation starts with an empty cache."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.last_number = 0
            self.stored.clear()
        for event in sorted(events, key=lambda event: event.number):
            if event.number > self.last_number:
                self._take(event)

    def holds(self, prefix: str) -> bool:
        """Tell whether the engine seems to hold a prefix."""
        missed_then = self.stored.get(prefix)
        if missed_then is None:
            return False
        return self.missed - missed_then <= MISSED_EVENTS_TOLERATED

    def _take(self, event: CacheEvent) -> None:
        self.missed += event.number - self.last_number - 1
        self.last_number = event.number
        self.stored.pop(event.prefix, None)
        if not event.stored:
            return
        self.stored[event.prefix] = self.missed
        while len(self.stored) > PREFIX_LIMIT:
            self.stored.popitem(last=False)
