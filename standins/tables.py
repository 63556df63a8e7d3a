"""State of the stand-in platform: table, host list and weight store."""

import bisect
from collections import deque
from dataclasses import dataclass, field
from typing import Any

HOST_EXPIRY_S = 10
HOST_HISTORY_S = 120


@dataclass(frozen=True, slots=True)
class Row:
    """The content of a row, and the number of the transaction that wrote it."""

    version: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and deletions, under conditions on the versions of rows.

    Version 0 in `conditions` means that the row does not exist.
    """

    conditions: dict[str, int]
    puts: dict[str, dict[str, Any]]
    deletes: list[str]


class Table:
    """Rows by key; versions increase over the whole table."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.last_version = 0

    def find_conflicts(self, transaction: Transaction) -> list[str]:
        """Return the keys whose version does not meet its condition."""
        return [
            key
            for key, version in transaction.conditions.items()
            if self._version(key) != version
        ]

    def commit(self, transaction: Transaction) -> dict[str, int]:
        """Apply a transaction that has no conflicts; return new versions."""
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
        """Return keys of a prefix after `after`, and whether more follow."""
        first = bisect.bisect_left(self.keys, prefix)
        if after >= prefix:
            first = max(first, bisect.bisect_right(self.keys, after))
        found: list[str] = []
        for key in self.keys[first : first + limit + 1]:
            if key.startswith(prefix):
                found.append(key)
        return found[:limit], len(found) > limit

    def describe(self, key: str) -> dict[str, Any] | None:
        """Return a row in the protocol's format, None if it does not exist."""
        row = self.rows.get(key)
        if row is None:
            return None
        return {'key': key, 'version': row.version, 'value': row.content}

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0


@dataclass(frozen=True, slots=True)
class HostEntry:
    """The entry that a host sent at a time in monotonic seconds."""

    time_s: float
    content: dict[str, Any]


class HostList:
    """Recent entries of hosts, so that the list can be read as of a time."""

    def __init__(self) -> None:
        self.history: dict[str, deque[HostEntry]] = {}

    def put(self, name: str, entry: dict[str, Any], now: float) -> None:
        """Store an entry that a host sent."""
        entries = self.history.setdefault(name, deque())
        entries.append(HostEntry(now, entry))
        while entries[0].time_s < now - HOST_HISTORY_S:
            entries.popleft()

    def read(self, time_s: float) -> list[dict[str, Any]]:
        """Return the hosts that were in the list at a time."""
        hosts = []
        for name, entries in sorted(self.history.items()):
            entry = _find_at(entries, time_s)
            if entry is not None:
                hosts.append({'name': name, **entry})
        return hosts


def _find_at(
    entries: deque[HostEntry],
    time_s: float,
) -> dict[str, Any] | None:
    for entry in reversed(entries):
        if entry.time_s <= time_s:
            is_fresh = time_s - entry.time_s < HOST_EXPIRY_S
            return entry.content if is_fresh else None
    return None


@dataclass(slots=True)
class WeightStore:
    """Limits how many transfers start within any second.

    Attributes:
        start_times: of the transfers in the last second.
    """

    start_times: deque[float] = field(default_factory=deque)

    def admit(self, rate: float, now: float) -> float:
        """Return 0 if a transfer may start now, else the seconds to wait.

        Args:
            rate: transfers per second.
            now: monotonic seconds.
        """
        while self.start_times and self.start_times[0] <= now - 1:
            self.start_times.popleft()
        if len(self.start_times) < rate:
            self.start_times.append(now)
            return 0
        return self.start_times[0] + 1 - now
