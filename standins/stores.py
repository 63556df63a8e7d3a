"""The platform's metadata store: rows, readings and long polls."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any

from tornado.web import Application

from standins import control

OK = 200
GONE = 410
CONDITION_FAILED = 412


@dataclass(slots=True)
class StoreSwitches(control.Switches):
    """Failure switches of the store.

    `forget` drops the history, once.
    """

    forget: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """One row as a transaction left it; no text means that it is gone."""

    version: int
    table: str
    key: str
    text: str | None

    def body(self) -> dict[str, Any]:
        """Return the row as the store tells it."""
        told = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'apiVersion': self.version,
        }
        if self.text is None:
            return {**told, 'tombstone': True}
        return {**told, 'value': base64.b64encode(self.text.encode()).decode()}


class Store(control.Standin):
    """Rows with one version counter."""

    def __init__(self) -> None:
        super().__init__(StoreSwitches())
        self.version = 0
        self.changes: list[Change] = []
        self.oldest = 0
        self.calls = 0

    def put(self, table: str, key: str, content: Any) -> int:
        """Write or remove a row; return its version."""
        self.version += 1
        text = content if isinstance(content, str) else json.dumps(content)
        if content is None:
            text = None
        self.changes.append(Change(self.version, table, key, text))
        self.changed.notify_all()
        return self.version

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return a table, by key."""
        latest = {
            change.key: change
            for change in self.changes
            if change.table == table
        }
        return [
            latest[key].body()
            for key in sorted(latest)
            if latest[key].text is not None
        ]

    def since(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return what changed in a table."""
        return [
            change.body()
            for change in self.changes
            if change.table == table and change.version > after
        ]

    def row_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it is not there."""
        for change in reversed(self.changes):
            if (change.table, change.key) == (table, key):
                return 0 if change.text is None else change.version
        return 0

    def answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the body of an answer."""
        return {
            'rows': rows,
            'hasMore': False,
            'apiVersion': self.version,
            'nowMs': time.monotonic() * control.MS_PER_S,
        }

    def record(self) -> dict[str, Any]:
        """Return the version and the number of calls."""
        return {'version': self.version, 'calls': self.calls}

    def on_switched(self) -> None:
        """Drop the history when told to."""
        if self.switches.forget:
            self.switches.forget = False
            self.oldest = self.version


class _RowsHandler(control.JsonHandler):
    def post(self) -> None:
        told = self.read_json()
        version = self.standin.put(told['table'], told['key'], told['content'])
        self.answer(OK, {'version': version})


class _GetHandler(control.OuterHandler):
    def get(self) -> None:
        self.standin.calls += 1
        first = self.get_argument('from', '')
        end = self.get_argument('to', None)
        rows = [
            row
            for row in self.standin.rows(self.get_argument('table'))
            if row['key'] >= first and (end is None or row['key'] < end)
        ]
        self.answer(OK, self.standin.answer(rows))


class _TransactionHandler(control.OuterHandler):
    """One row written under a condition on the same row."""

    def post(self) -> None:
        store = self.standin
        store.calls += 1
        told = self.read_json()
        condition = told['precondition'][0]
        table, key = condition['table'], condition['key']
        if store.row_version(table, key) != condition['apiVersion']:
            rows = [row for row in store.rows(table) if row['key'] == key]
            self.answer(CONDITION_FAILED, store.answer(rows))
            return
        text = base64.b64decode(told['setKeys'][0]['value']).decode()
        store.put(table, key, text)
        self.answer(OK, store.answer([]))


class _FeedHandler(control.OuterHandler):
    async def get(self) -> None:
        store = self.standin
        store.calls += 1
        after = int(self.get_argument('after'))
        if after < store.oldest:
            self.answer(GONE, {})
            return
        table = self.get_argument('table')
        wait_s = int(self.get_argument('waitMs')) / control.MS_PER_S
        ends_s = time.monotonic() + wait_s
        while not store.since(table, after) and time.monotonic() < ends_s:
            left_s = ends_s - time.monotonic()
            waiting = store.changed.wait()
            await asyncio.wait([asyncio.ensure_future(waiting)], timeout=left_s)
        while store.switches.freeze:
            await store.changed.wait()
        self.answer(OK, store.answer(store.since(table, after)))


def make_store_application(store: Store) -> Application:
    """Return the calls of a store."""
    return control.make_application(
        store,
        [
            ('/rows', _RowsHandler),
            ('/api/rows-get', _GetHandler),
            ('/api/rows-tx', _TransactionHandler),
            ('/api/rows-feed', _FeedHandler),
        ],
    )
