"""State of the stand-in platform: table, objects, hosts, weight store."""

import bisect
from collections import deque
from dataclasses import dataclass, field
from typing import Any

HOST_FORGOTTEN_AFTER_S = 10
HOST_HISTORY_S = 120


@dataclass(frozen=True, slots=True)
class Row:
    """A row and the number of the transaction that wrote it."""

    version: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions on versions (0: absent), and what to write under them."""

    conditions: dict[str, int]
    puts: dict[str, dict[str, Any]]
    deletes: list[str]


class Table:
    """Rows by key with versions that only rise over the whole table."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.last_version = 0

    def find_conflicts(self, transaction: Transaction) -> list[str]:
        """Return the keys whose version is not as the transaction wants."""
        return [
            key
            for key, version in transaction.conditions.items()
            if self._version(key) != version
        ]

    def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write a transaction without conflicts; return new versions."""
        self.last_version += 1
        for key in transaction.deletes:
            if self.rows.pop(key, None):
                self.keys.remove(key)
        for key, content in transaction.puts.items():
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = Row(self.last_version, content)
        return dict.fromkeys(transaction.puts, self.last_version)

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[list[str], bool]:
        """Return keys of a prefix greater than `after`, and if more follow."""
        first = bisect.bisect_left(self.keys, prefix)
        if after >= prefix:
            first = max(first, bisect.bisect_right(self.keys, after))
        found: list[str] = []
        for key in self.keys[first : first + limit + 1]:
            if key.startswith(prefix):
                found.append(key)
        return found[:limit], len(found) > limit

    def describe(self, key: str) -> dict[str, Any] | None:
        """Return a row as the protocol gives it, or nothing."""
        row = self.rows.get(key)
        if row is None:
            return None
        return {'key': key, 'version': row.version, 'value': row.content}

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0


@dataclass(frozen=True, slots=True)
class HostEntry:
    """What a host told of itself at a moment in seconds."""

    moment: float
    content: dict[str, Any]


class HostList:
    """Hosts as last told, seen late; moments in seconds."""

    def __init__(self) -> None:
        self.history: dict[str, deque[HostEntry]] = {}

    def put(self, name: str, entry: dict[str, Any], now: float) -> None:
        """Take what a host tells of itself."""
        told = self.history.setdefault(name, deque())
        told.append(HostEntry(now, entry))
        while told[0].moment < now - HOST_HISTORY_S:
            told.popleft()

    def read(self, moment: float) -> list[dict[str, Any]]:
        """Return the hosts that were in the list at a moment."""
        hosts = []
        for name, told in sorted(self.history.items()):
            entry = _find_at(told, moment)
            if entry is not None:
                hosts.append({'name': name, **entry})
        return hosts


def _find_at(
    told: deque[HostEntry],
    moment: float,
) -> dict[str, Any] | None:
    for entry in reversed(told):
        if entry.moment <= moment:
            is_fresh = moment - entry.moment < HOST_FORGOTTEN_AFTER_S
            return entry.content if is_fresh else None
    return None


@dataclass(slots=True)
class WeightStore:
    """Counts transfers against a rate a second, with a burst of one second."""

    taken: deque[float] = field(default_factory=deque)

    def admit(self, rate: float, now: float) -> float:
        """Return 0 when a transfer may start, else the seconds to wait."""
        while self.taken and self.taken[0] <= now - 1:
            self.taken.popleft()
        if len(self.taken) < rate:
            self.taken.append(now)
            return 0
        return self.taken[0] + 1 - now
