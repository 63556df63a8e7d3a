"""Stand-in of the platform's store, with the page limits of its interface."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from review.rig.fronts import LOOPBACK

MS_PER_S = 1000
# Of one answer of rows-get.
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 100  # of one transaction
ANSWER_S = 0.004
ERA = '1'


@dataclass(slots=True)
class Row:
    """The latest state of a row; ``text`` is None once it is removed."""

    table: str
    key: str
    text: bytes | None
    version: int

    def describe(self) -> dict[str, Any]:
        """Return the row as the store's answers hold it."""
        described = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'apiVersion': self.version,
        }
        if self.text is None:
            return {**described, 'tombstone': True}
        return {**described, 'value': base64.b64encode(self.text).decode()}


@dataclass(slots=True)
class Call:
    """A call that was answered.

    Attributes:
        caller: name of the front.
        path: path of the call.
        table: the table it reads; empty for transactions.
        rows: number of rows in the answer.
        has_more: whether the answer was not the last page.
    """

    caller: str
    path: str
    table: str
    rows: int
    has_more: bool


@dataclass(slots=True)
class Store:
    """Rows with one version counter, served on one port for each front.

    Attributes:
        cut: names of fronts whose calls get no answer.
        on_call: called after each answer.
    """

    version: int = 0
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    on_call: Callable[[Call], None] | None = None

    def put(self, table: str, key: str, content: Any) -> int:
        """Write a row, or remove it if the content is None."""
        text = None if content is None else json.dumps(content).encode()
        return self.write([(table, key, text)])

    def write(self, rows: list[tuple[str, str, bytes | None]]) -> int:
        """Write rows with one version, which is returned."""
        self.version += 1
        for table, key, text in rows:
            self.rows[table, key] = Row(table, key, text, self.version)
        self.notify()
        return self.version

    def notify(self) -> None:
        """Wake up calls that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def table(self, table: str) -> list[Row]:
        """Return the rows of a table in the order of their keys."""
        keys = sorted(key for name, key in self.rows if name == table)
        return [self.rows[table, key] for key in keys]

    def row_version(self, table: str, key: str) -> int:
        """Return the version of a row; 0 if it does not exist."""
        row = self.rows.get((table, key))
        return 0 if row is None or row.text is None else row.version

    def serve(self, caller: str) -> str:
        """Listen for the calls of one front; return the address."""
        sockets = bind_sockets(0, LOOPBACK)
        bound = {'store': self, 'caller': caller}
        application = Application(
            [
                ('/api/rows-get', _GetHandler, bound),
                ('/api/rows-feed', _FeedHandler, bound),
                ('/api/rows-tx', _TransactionHandler, bound),
            ],
            log_function=_no_log,
        )
        HTTPServer(application).add_sockets(sockets)
        return f'{LOOPBACK}:{sockets[0].getsockname()[1]}'


class _CallHandler(RequestHandler):
    def initialize(self, store: Store, caller: str) -> None:
        self.store = store
        self.caller = caller

    async def answer(
        self,
        rows: list[Row],
        status: HTTPStatus = HTTPStatus.OK,
        *,
        has_more: bool = False,
    ) -> None:
        """Answer as of now, after the time that each answer takes."""
        content = {
            'rows': [row.describe() for row in rows],
            'apiVersion': self.store.version,
            'nowMs': time.monotonic() * MS_PER_S,
            'hasMore': has_more,
        }
        await asyncio.sleep(ANSWER_S)
        while self.caller in self.store.cut:
            await self.store.changed.wait()
        self.set_status(status)
        self.set_header('Store-Era', ERA)
        # The front may have given the call up meanwhile.
        with contextlib.suppress(StreamClosedError):
            await self.finish(content)
        if self.store.on_call is not None:
            table = self.get_argument('table', '')
            path = self.request.path
            self.store.on_call(
                Call(self.caller, path, table, len(rows), has_more)
            )


class _GetHandler(_CallHandler):
    async def get(self) -> None:
        first = self.get_argument('from', '')
        # The NUL at the end of a key must not be stripped.
        end = self.get_argument('to', None, strip=False)
        rows = [
            row
            for row in self.store.table(self.get_argument('table'))
            if row.text is not None
            and row.key >= first
            and (end is None or row.key < end)
        ]
        page = _page(rows)
        await self.answer(page, has_more=len(page) < len(rows))


class _FeedHandler(_CallHandler):
    async def get(self) -> None:
        after = int(self.get_argument('after'))
        wait_s = int(self.get_argument('waitMs')) / MS_PER_S
        ends_s = time.monotonic() + wait_s
        rows = self.changes(after)
        while not rows and time.monotonic() < ends_s:
            await _wait(self.store.changed, ends_s - time.monotonic())
            rows = self.changes(after)
        await self.answer(rows)

    def changes(self, after: int) -> list[Row]:
        """Return the rows that changed after a version, in order."""
        rows = self.store.table(self.get_argument('table'))
        changed = [row for row in rows if row.version > after]
        return sorted(changed, key=lambda row: row.version)


class _TransactionHandler(_CallHandler):
    async def post(self) -> None:
        transaction = json.loads(self.request.body)
        if sum(map(len, transaction.values())) > MAX_ENTRIES:
            await self.answer([], HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        names = [
            (entry['table'], entry['key'])
            for entry in transaction['precondition']
        ]
        expected = [
            entry['apiVersion'] for entry in transaction['precondition']
        ]
        if [self.store.row_version(*name) for name in names] != expected:
            current = [
                self.store.rows[name]
                for name in names
                if self.store.row_version(*name)
            ]
            await self.answer(current, HTTPStatus.PRECONDITION_FAILED)
            return
        self.store.write(
            [
                (entry['table'], entry['key'], base64.b64decode(entry['value']))
                for entry in transaction['setKeys']
            ]
            + [
                (entry['table'], entry['key'], None)
                for entry in transaction['delete']
            ]
        )
        await self.answer([])


def _page(rows: list[Row]) -> list[Row]:
    page: list[Row] = []
    size = 0
    for row in rows[:PAGE_ROWS]:
        size += len(row.text or b'')
        if size > PAGE_BYTES:
            break
        page.append(row)
    return page


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(max(timeout_s, 0)):
            await event.wait()
    except TimeoutError:
        return


def _no_log(_: RequestHandler) -> None:
    """Drop the access log."""
