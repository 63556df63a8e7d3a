"""The engine's prefix cache of limited size, and its delayed event feed."""

import random
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass
from os.path import commonprefix
from typing import Any

from standins import tokens

MAX_EVENTS = 100_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the cache.

    `number` rises by one with each event, so dropped events leave gaps.
    """

    number: int
    kind: str
    prefix: str


@dataclass(frozen=True, slots=True)
class Context:
    """A prompt and the tokens after it that an engine has processed."""

    prompt: str
    output: tuple[str, ...]

    def count_shared(self, other: 'Context') -> int:
        """Return the number of leading tokens that two contexts share."""
        if self.prompt != other.prompt:
            shared = commonprefix([self.prompt, other.prompt])
            return len(shared) // tokens.PROMPT_CHARACTERS_PER_TOKEN
        shared_output = commonprefix([self.output, other.output])
        return tokens.count_prompt_tokens(self.prompt) + len(shared_output)

    def count_tokens(self) -> int:
        """Return the length of the context in tokens."""
        return tokens.count_prompt_tokens(self.prompt) + len(self.output)


class PrefixCache:
    """Caches one context per prompt hash; evicts the least recently used."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.entries: OrderedDict[str, Context] = OrderedDict()
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self.last_number = 0

    def count_missing(self, context: Context) -> int:
        """Return the number of tokens of a context that are not cached."""
        cached = self.entries.get(tokens.hash_prefix(context.prompt))
        if cached is None:
            return context.count_tokens()
        return context.count_tokens() - context.count_shared(cached)

    def store(self, context: Context, now: float) -> None:
        """Store a context; evict the least recently used over the limit."""
        key = tokens.hash_prefix(context.prompt)
        if key not in self.entries:
            self._append_event('stored', key, now)
        self.entries[key] = context
        self.entries.move_to_end(key)
        while len(self.entries) > self.max_entries:
            evicted, _ = self.entries.popitem(last=False)
            self._append_event('evicted', evicted, now)

    def clear(self) -> None:
        """Remove entries and events, as a restart of an engine does."""
        self.entries.clear()
        self.events.clear()
        self.last_number = 0

    def _append_event(self, kind: str, key: str, now: float) -> None:
        self.last_number += 1
        self.events.append((now, CacheEvent(self.last_number, kind, key)))


class EventFeed:
    """Cache events as callers see them: delayed, and some dropped.

    Attributes:
        dropped: numbers of the events that no caller sees.
        last_drawn: highest number for which a drop was drawn at random.
    """

    def __init__(self, cache: PrefixCache, rng: random.Random) -> None:
        self.cache = cache
        self.rng = rng
        self.dropped: set[int] = set()
        self.last_drawn = 0

    def read(
        self,
        after: int,
        visible_until: float,
        drop_ratio: float,
    ) -> dict[str, Any]:
        """Return the events after a number that are visible by now.

        Args:
            after: number of the last event that the caller has seen.
            visible_until: monotonic seconds; later events are held back.
            drop_ratio: share of events to drop, drawn once per event.

        Returns:
            The events, and as ``next`` the `after` of the next read.
        """
        last_number = 0
        events: list[dict[str, Any]] = []
        for created_s, event in self.cache.events:
            if created_s > visible_until:
                break
            last_number = event.number
            if (
                not self._is_dropped(last_number, drop_ratio)
                and last_number > after
            ):
                events.append(asdict(event))
        return {'events': events, 'next': max(last_number, after)}

    def clear(self) -> None:
        """Reset the feed, for a cache that was cleared."""
        self.dropped.clear()
        self.last_drawn = 0

    def _is_dropped(self, number: int, drop_ratio: float) -> bool:
        if number > self.last_drawn:
            self.last_drawn = number
            if self.rng.random() < drop_ratio:
                self.dropped.add(number)
        return number in self.dropped
