"""API keys that configurations have taken away."""

from __future__ import annotations

from collections import deque

from celerywharf.platform import Row, read_api_keys

KEPT = 32


class Removals:
    """Knows which API keys each configuration has taken away.

    A host that knows of a configuration but does not have it yet must not
    accept these.

    Attributes:
        era: era of the store in which the versions were given out.
        keys: of the newest configuration; None if it requires none, or before
            the first.
        since: version of the table from which on all removals are known; None
            before the first configuration.
        removed: versions of the table with the keys that each took away; None
            for one that began to require keys.
        content: the newest configuration.
    """

    def __init__(self) -> None:
        self.era = 0
        self.keys: frozenset[str] | None = None
        self.since: int | None = None
        self.removed: deque[tuple[int, frozenset[str] | None]] = deque()
        self.content: bytes | None = None

    def learn(self, era: int, row: Row | None) -> None:
        """Record the configuration's row; versions hold within an era."""
        if era != self.era:
            self._restart(era)
        if row is not None and row.content and row.content != self.content:
            self._learn(row.version, row.content)

    def after(self, version: int) -> list[str] | None:
        """Return the keys taken away after a version; None if unknown."""
        if self.since is None or version < self.since:
            return None
        gone: set[str] = set()
        for removed_version, keys in self.removed:
            if removed_version <= version:
                continue
            if keys is None:
                return None
            gone |= keys
        return sorted(gone - (self.keys or frozenset()))

    def _restart(self, era: int) -> None:
        self.era = era
        self.keys = None
        self.since = None
        self.removed.clear()
        self.content = None

    def _learn(self, version: int, content: bytes) -> None:
        keys = read_api_keys(content)
        if self.since is None:
            self.since = version
        elif self.keys is not None and keys is not None:
            self.removed.append((version, self.keys - keys))
        elif keys is not None:
            self.removed.append((version, None))
        while len(self.removed) > KEPT:
            self.since = self.removed.popleft()[0]
        self.keys = keys
        self.content = content
