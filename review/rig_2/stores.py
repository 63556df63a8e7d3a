"""Stand-in for the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from rig_2.messages import Message, Server, write_json

OK = 200
NOT_FOUND = 404
CONDITION_FAILED = 412
MS_PER_S = 1000

Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as of its last change; ``content`` is None if it was removed."""

    table: str
    key: str
    content: bytes | None
    version: int

    def describe(self) -> dict[str, Any]:
        """Return the row as in answers."""
        row = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'apiVersion': self.version,
        }
        if self.content is None:
            return {**row, 'tombstone': True}
        return {**row, 'value': base64.b64encode(self.content).decode()}


class Store:
    """Keeps rows and answers calls of fronts.

    Attributes:
        rows: the last change of each row.
        version: of the last transaction.
        changed: set and replaced at each change.
    """

    def __init__(self) -> None:
        self.rows: dict[Key, StoredRow] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = Server(self.serve)

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator or a backend server does."""
        self._apply({(table, key): json.dumps(content).encode()})

    async def serve(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call."""
        body = await reader.readexactly(request.length)
        url = urlsplit(request.start[1])
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        match url.path.rpartition('/')[2]:
            case 'rows-get':
                writer.write(write_json(OK, self._select(query)))
            case 'rows-feed':
                writer.write(write_json(OK, await self._follow(query)))
            case 'rows-tx':
                writer.write(self._transact(json.loads(body)))
            case _:
                writer.write(write_json(NOT_FOUND, {}))

    def _apply(self, changes: dict[Key, bytes | None]) -> None:
        self.version += 1
        for (table, key), content in changes.items():
            row = StoredRow(table, key, content, self.version)
            self.rows[table, key] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, rows: list[StoredRow]) -> dict[str, Any]:
        return {
            'rows': [row.describe() for row in rows],
            'hasMore': False,
            'apiVersion': self.version,
            'nowMs': round(time.monotonic() * MS_PER_S),
        }

    def _select(self, query: dict[str, str]) -> dict[str, Any]:
        first, end = query.get('from', ''), query.get('to')
        return self._answer(
            [
                row
                for _, row in sorted(self.rows.items())
                if row.table == query['table']
                and row.content is not None
                and row.key >= first
                and (end is None or row.key < end)
            ]
        )

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        rows = (row for row in self.rows.values() if row.table == table)
        newer = [row for row in rows if row.version > after]
        return sorted(newer, key=lambda row: row.version)

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query['table'], int(query['after'])
        ends_s = time.monotonic() + int(query['waitMs']) / MS_PER_S
        while not self._changes(table, after):
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                break
            await _wait(self.changed, left_s)
        return self._answer(self._changes(table, after))

    def _transact(self, call: dict[str, Any]) -> bytes:
        named = [(row['table'], row['key']) for row in call['precondition']]
        known = [self.rows[key] for key in named if key in self.rows]
        versions = {
            (row.table, row.key): row.version
            for row in known
            if row.content is not None
        }
        if any(
            versions.get(key, 0) != row['apiVersion']
            for key, row in zip(named, call['precondition'], strict=True)
        ):
            return write_json(CONDITION_FAILED, self._answer(known))
        changes: dict[Key, bytes | None] = {
            (row['table'], row['key']): base64.b64decode(row['value'])
            for row in call['setKeys']
        }
        for row in call['delete']:
            changes[row['table'], row['key']] = None
        self._apply(changes)
        return write_json(OK, self._answer([]))


class Door:
    """The way of one front to the store.

    Attributes:
        on_first_call: called before the first call is answered; None if nobody
            waits for it.
        writers: of the open connections.
        refuses: resets the connections of all calls.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.server = Server(self.serve)
        self.on_first_call: Callable[[], None] | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.refuses = False

    def refuse(self) -> None:
        """Turn the front away from now on."""
        self.refuses = True
        for writer in self.writers:
            writer.transport.abort()

    async def serve(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass a call on to the store, or reset its connection."""
        self.writers.add(writer)
        if self.refuses:
            writer.transport.abort()
            return
        if self.on_first_call is not None:
            self.on_first_call()
            self.on_first_call = None
        await self.store.serve(request, reader, writer)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
