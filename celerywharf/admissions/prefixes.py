"""Index of the prompt prefixes that an engine probably caches."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

STORED_PREFIX_LIMIT = 4096
MISSED_EVENTS_TOLERATED = 256


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored in or evicted from an engine's cache.

    Attributes:
        number: rises by one for each event; some events never arrive.
        stored: True if the prefix was stored, False if it was evicted.
        prefix: hash of the prompt's first characters.
    """

    number: int
    stored: bool
    prefix: str


class PrefixIndex:
    """Approximate contents of an engine's prefix cache.

    The cache events arrive late and some are lost, so the index is only a
    hint.  Each lost event may have been an eviction: a prefix counts as
    cached until more than ``MISSED_EVENTS_TOLERATED`` events were lost after
    it was stored.

    Attributes:
        incarnation: the run of the engine that the events are from.
        last_number: number of the last event applied.
        missed: number of lost events so far.
        stored: value of ``missed`` when a prefix was stored, by prefix.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.last_number = 0
        self.missed = 0
        self.stored: OrderedDict[str, int] = OrderedDict()

    def apply_events(
        self, incarnation: int, events: Iterable[CacheEvent]
    ) -> None:
        """Apply events; a new incarnation starts with an empty index."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.last_number = 0
            self.stored.clear()
        for event in sorted(events, key=lambda event: event.number):
            if event.number > self.last_number:
                self._apply(event)

    def holds(self, prefix: str) -> bool:
        """Return whether the engine probably caches a prefix."""
        missed_when_stored = self.stored.get(prefix)
        if missed_when_stored is None:
            return False
        return self.missed - missed_when_stored <= MISSED_EVENTS_TOLERATED

    def _apply(self, event: CacheEvent) -> None:
        self.missed += event.number - self.last_number - 1
        self.last_number = event.number
        self.stored.pop(event.prefix, None)
        if not event.stored:
            return
        self.stored[event.prefix] = self.missed
        while len(self.stored) > STORED_PREFIX_LIMIT:
            self.stored.popitem(last=False)
