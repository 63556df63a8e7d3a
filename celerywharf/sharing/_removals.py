"""API keys that configurations have taken away."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from celerywharf.platform import Row, read_api_keys

KEPT = 32


@dataclass(frozen=True, slots=True)
class Removal:
    """A change of the configuration.

    Attributes:
        before: last version of the table at which the one before was known to
            be in force.
        version: of the table; configurations between may have been missed.
        keys: taken away; None if keys began to be required.
    """

    before: int
    version: int
    keys: frozenset[str] | None


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
        removed: the changes since, oldest first.
        content: the newest configuration.
        confirmed: last version of the table at which it was in force.
    """

    def __init__(self) -> None:
        self.era = 0
        self.keys: frozenset[str] | None = None
        self.since: int | None = None
        self.removed: deque[Removal] = deque()
        self.content: bytes | None = None
        self.confirmed = 0

    def learn(self, era: int, row: Row | None, version: int) -> None:
        """Record a reading of the table; versions hold within an era.

        Args:
            era: era of the store.
            row: the configuration; None if the table has none.
            version: of the table.
        """
        if era != self.era:
            self._restart(era)
        if row is not None and row.content and row.content != self.content:
            self._learn(row.version, row.content)
        self.confirmed = version

    def after(self, version: int) -> list[str] | None:
        """Return the keys taken away after a version; None if unknown."""
        if self.since is None or version < self.since:
            return None
        gone: set[str] = set()
        for removal in self.removed:
            if removal.version <= version:
                continue
            if removal.keys is None or removal.before < version:
                return None
            gone |= removal.keys
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
            gone = self.keys - keys
            self.removed.append(Removal(self.confirmed, version, gone))
        elif keys is not None:
            self.removed.append(Removal(self.confirmed, version, None))
        while len(self.removed) > KEPT:
            self.since = self.removed.popleft().version
        self.keys = keys
        self.content = content
