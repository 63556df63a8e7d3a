"""Stand-in for the metadata store of the users' platform."""

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
TOO_LARGE = 413
MAX_ENTRIES = 100  # of one transaction
MAX_CALL_BYTES = 1_000_000  # of one transaction or the values of an answer
MAX_ROWS = 500  # of an answer
MAX_ROW_BYTES = 65536  # that the system may write


@dataclass(slots=True)
class StoreSwitches(control.Switches):
    """Failure switches of the store.

    `forget` drops the history once: polls for the changes after an earlier
    version are then answered with 410. `restore_to` replaces all rows once by a
    copy as of that version, and gives later versions out again. `freeze` also
    holds running polls.
    """

    forget: bool = False
    restore_to: int | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """A version of a row; `text` is None if the row was removed."""

    version: int
    table: str
    key: str
    text: str | None

    def describe(self) -> dict[str, Any]:
        """Return the row in the format of the store's answers."""
        row = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'apiVersion': self.version,
        }
        if self.text is None:
            return {**row, 'tombstone': True}
        return {**row, 'value': base64.b64encode(self.text.encode()).decode()}


class Store(control.Standin):
    """Rows with one version counter.

    Attributes:
        version: version of the last write.
        era: how often the rows were replaced by an older copy, from 1 on.
        changes: all writes in order.
        history_start: lowest version after which changes can be polled.
        calls: how many calls were received.
    """

    def __init__(self) -> None:
        super().__init__(StoreSwitches())
        self.version = 0
        self.era = 1
        self.changes: list[Change] = []
        self.history_start = 0
        self.calls = 0

    def put(self, table: str, key: str, content: Any) -> int:
        """Write a row, or remove it if the content is None.

        Returns:
            The version of the write.
        """
        self.version += 1
        text = content if isinstance(content, str) else json.dumps(content)
        if content is None:
            text = None
        self.changes.append(Change(self.version, table, key, text))
        self.changed.notify_all()
        return self.version

    def transact(self, rows: list[tuple[str, str, bytes | None]]) -> None:
        """Write rows with one version, or remove those without a value."""
        self.version += 1
        for table, key, value in rows:
            text = None if value is None else value.decode()
            self.changes.append(Change(self.version, table, key, text))
        self.changed.notify_all()

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table, sorted by key."""
        latest = {
            change.key: change
            for change in self.changes
            if change.table == table
        }
        return [
            latest[key].describe()
            for key in sorted(latest)
            if latest[key].text is not None
        ]

    def changes_since(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the changes of a table after a version."""
        return [
            change.describe()
            for change in self.changes
            if change.table == table and change.version > after
        ]

    def row_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        for change in reversed(self.changes):
            if (change.table, change.key) == (table, key):
                return 0 if change.text is None else change.version
        return 0

    def answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the body of an answer with these rows."""
        return {
            'rows': rows,
            'hasMore': False,
            'apiVersion': self.version,
            'nowMs': time.monotonic() * control.MS_PER_S,
        }

    def page(
        self, rows: list[dict[str, Any]], max_rows: int | None = MAX_ROWS
    ) -> dict[str, Any]:
        """Return the body of an answer with the first of these rows."""
        size_bytes = 0
        page: list[dict[str, Any]] = []
        for row in rows[:max_rows]:
            size_bytes += len(row.get('value', ''))
            if page and size_bytes > MAX_CALL_BYTES:
                break
            page.append(row)
        return {**self.answer(page), 'hasMore': len(page) < len(rows)}

    def record(self) -> dict[str, Any]:
        """Return the version, the era and the number of calls."""
        return {
            'version': self.version,
            'era': self.era,
            'calls': self.calls,
        }

    def on_switches_changed(self) -> None:
        """Drop the history if `forget` is set, and clear it."""
        if self.switches.forget:
            self.switches.forget = False
            self.history_start = self.version
        if self.switches.restore_to is not None:
            self.version = self.switches.restore_to
            self.switches.restore_to = None
            self.era += 1
            self.changes = [
                change
                for change in self.changes
                if change.version <= self.version
            ]


class _CallHandler(control.ProtocolHandler):
    """A call of the system, answered with the era."""

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """Finish with a status and a JSON object."""
        self.set_header('Store-Era', str(self.standin.era))
        super().answer(status, body)


class _RowsHandler(control.JsonHandler):
    def post(self) -> None:
        row = self.read_json()
        version = self.standin.put(row['table'], row['key'], row['content'])
        self.answer(OK, {'version': version})


class _GetHandler(_CallHandler):
    def get(self) -> None:
        self.standin.calls += 1
        # A NUL in an argument arrives as a space; it must not be stripped.
        first = self.get_argument('from', '', strip=False)
        end = self.get_argument('to', None, strip=False)
        rows = [
            row
            for row in self.standin.rows(self.get_argument('table'))
            if row['key'] >= first and (end is None or row['key'] < end)
        ]
        self.answer(OK, self.standin.page(rows))


class _TransactionHandler(_CallHandler):
    """Changes rows if all of them have the expected versions."""

    def post(self) -> None:
        store = self.standin
        store.calls += 1
        transaction = self.read_json()
        values = [
            base64.b64decode(entry['value']) for entry in transaction['setKeys']
        ]
        if (
            sum(map(len, transaction.values())) > MAX_ENTRIES
            or len(self.request.body) > MAX_CALL_BYTES
            or max(map(len, values), default=0) > MAX_ROW_BYTES
        ):
            self.answer(TOO_LARGE, {})
            return
        conditions = transaction['precondition']
        if any(
            store.row_version(condition['table'], condition['key'])
            != condition['apiVersion']
            for condition in conditions
        ):
            self.answer(
                CONDITION_FAILED, store.answer(_current(store, conditions))
            )
            return
        store.transact(
            [
                (entry['table'], entry['key'], base64.b64decode(entry['value']))
                for entry in transaction['setKeys']
            ]
            + [
                (entry['table'], entry['key'], None)
                for entry in transaction['delete']
            ]
        )
        self.answer(OK, store.answer([]))


def _current(
    store: Store, conditions: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the existing rows of a transaction's conditions."""
    return [
        row
        for condition in conditions
        for row in store.rows(condition['table'])
        if row['key'] == condition['key']
    ]


class _FeedHandler(_CallHandler):
    async def get(self) -> None:
        store = self.standin
        store.calls += 1
        after = int(self.get_argument('after'))
        if not store.history_start <= after <= store.version:
            self.answer(GONE, {})
            return
        table = self.get_argument('table')
        wait_s = int(self.get_argument('waitMs')) / control.MS_PER_S
        deadline = time.monotonic() + wait_s
        while (
            not store.changes_since(table, after)
            and time.monotonic() < deadline
        ):
            remaining_s = deadline - time.monotonic()
            waiting = store.changed.wait()
            await asyncio.wait(
                [asyncio.ensure_future(waiting)], timeout=remaining_s
            )
            if after > store.version:
                self.answer(GONE, {})
                return
        while store.switches.freeze:
            await store.changed.wait()
        # An answer with changes does not tell whether there are more.
        page = store.page(store.changes_since(table, after), max_rows=None)
        self.answer(OK, {**page, 'hasMore': False})


def make_store_application(store: Store) -> Application:
    """Return the HTTP application of a store."""
    return control.make_application(
        store,
        [
            ('/rows', _RowsHandler),
            ('/api/rows-get', _GetHandler),
            ('/api/rows-tx', _TransactionHandler),
            ('/api/rows-feed', _FeedHandler),
        ],
    )
