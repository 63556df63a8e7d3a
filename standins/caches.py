"""The engine's prefix cache in limited memory, and its late event feed."""

import random
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass
from os.path import commonprefix
from typing import Any

from standins import tokens

MAX_EVENTS = 100_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the cache; `number` rises by one, with gaps when lost."""

    number: int
    kind: str
    prefix: str


@dataclass(frozen=True, slots=True)
class Context:
    """What an engine computed over: a prompt and the tokens after it."""

    prompt: str
    output: tuple[str, ...]

    def count_shared(self, other: 'Context') -> int:
        """Return how many leading tokens two contexts share."""
        if self.prompt != other.prompt:
            shared = commonprefix([self.prompt, other.prompt])
            return len(shared) // tokens.PROMPT_CHARACTERS_PER_TOKEN
        shared_output = commonprefix([self.output, other.output])
        return tokens.count_prompt_tokens(self.prompt) + len(shared_output)

    def count_tokens(self) -> int:
        """Return the length of the context in tokens."""
        return tokens.count_prompt_tokens(self.prompt) + len(self.output)


class PrefixCache:
    """Least recently used contexts, one for each prompt start."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.entries: OrderedDict[str, Context] = OrderedDict()
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self.last_number = 0

    def count_missing(self, context: Context) -> int:
        """Return the tokens of a context that must be computed."""
        cached = self.entries.get(tokens.hash_prefix(context.prompt))
        if cached is None:
            return context.count_tokens()
        return context.count_tokens() - context.count_shared(cached)

    def store(self, context: Context, now: float) -> None:
        """Keep a context; the least recently used make room for it."""
        key = tokens.hash_prefix(context.prompt)
        if key not in self.entries:
            self._tell('stored', key, now)
        self.entries[key] = context
        self.entries.move_to_end(key)
        while len(self.entries) > self.max_entries:
            evicted, _ = self.entries.popitem(last=False)
            self._tell('evicted', evicted, now)

    def clear(self) -> None:
        """Forget entries and events, as a restarted engine does."""
        self.entries.clear()
        self.events.clear()
        self.last_number = 0

    def _tell(self, kind: str, key: str, now: float) -> None:
        self.last_number += 1
        self.events.append((now, CacheEvent(self.last_number, kind, key)))


class EventFeed:
    """Cache events as told outside: late, and some of them never."""

    def __init__(self, cache: PrefixCache, rng: random.Random) -> None:
        self.cache = cache
        self.rng = rng
        self.lost: set[int] = set()
        self.judged = 0

    def read(
        self,
        after: int,
        visible_until: float,
        drop_ratio: float,
    ) -> dict[str, Any]:
        """Return events numbered above `after`, and where to go on."""
        last = 0
        told: list[dict[str, Any]] = []
        for moment, event in self.cache.events:
            if moment > visible_until:
                break
            last = event.number
            if not self._is_lost(last, drop_ratio) and last > after:
                told.append(asdict(event))
        return {'events': told, 'next': max(last, after)}

    def clear(self) -> None:
        """Begin again with an empty cache."""
        self.lost.clear()
        self.judged = 0

    def _is_lost(self, number: int, drop_ratio: float) -> bool:
        if number > self.judged:
            self.judged = number
            if self.rng.random() < drop_ratio:
                self.lost.add(number)
        return number in self.lost
