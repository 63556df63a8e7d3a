"""Stand-in for the platform: table, objects, hosts and weights over HTTP."""

import asyncio
import math
import time
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from tornado.web import Application

from standins import control
from standins.tables import HostList, Table, Transaction, WeightStore

OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
MAX_SCAN_ROWS = 1000


@dataclass(slots=True)
class PlatformSwitches(control.Switches):
    """Failure switches of the platform.

    Attributes:
        down: answer all calls with 503 and apply nothing.
        slow_ms: additional delay of each call.
        lose_answer_after_write: how many writes to apply and then reset.
        host_list_lag_s: delay of the host list.
        weights_per_s: weight transfers started per second at most.
        weight_ms: duration of a weight transfer.
    """

    down: bool = False
    slow_ms: float = 0
    lose_answer_after_write: int = 0
    host_list_lag_s: float = 0
    weights_per_s: float = 4
    weight_ms: float = 100


class Platform(control.Standin):
    """Data of the platform, and a record of the calls and writes."""

    switches: PlatformSwitches

    def __init__(self, switches: PlatformSwitches) -> None:
        super().__init__(switches)
        self.table = Table()
        self.stored: dict[str, bytes] = {}
        self.hosts = HostList()
        self.weights = WeightStore()
        self.calls: Counter[str] = Counter()
        self.transactions: list[dict[str, Any]] = []

    def record(self) -> dict[str, Any]:
        """Return transactions in order, objects, and counts of calls."""
        return {
            'transactions': self.transactions,
            'rows': {key: asdict(row) for key, row in self.table.rows.items()},
            'objects': {name: len(body) for name, body in self.stored.items()},
            'calls': self.calls,
        }


class PlatformHandler(control.ProtocolHandler):
    """A call to the platform."""

    standin: Platform

    async def prepare(self) -> None:
        """Apply the switches: `down` answers 503, `slow_ms` delays."""
        await super().prepare()
        switches = self.standin.switches
        if self._finished:
            return
        if switches.down:
            self.answer(control.UNAVAILABLE, {'code': 'down'})
            return
        self.standin.calls[f'{self.request.method} {self.request.path}'] += 1
        if switches.slow_ms:
            await asyncio.sleep(switches.slow_ms / control.MS_PER_S)

    def answer_after_write(self, status: int, body: dict[str, Any]) -> None:
        """Answer after a write; reset instead if `lose_answer_after_write`."""
        switches = self.standin.switches
        if switches.lose_answer_after_write > 0:
            switches.lose_answer_after_write -= 1
            self.drop_connection()
        else:
            self.answer(status, body)


class CommitHandler(PlatformHandler):
    """A transaction of conditional writes."""

    def post(self) -> None:
        """Commit, or answer 409 with the rows whose versions differ."""
        transaction = read_transaction(self.read_json())
        table = self.standin.table
        conflicts = table.find_conflicts(transaction)
        if conflicts:
            rows = {key: table.describe(key) for key in conflicts}
            self.answer(CONFLICT, {'code': 'conflict', 'rows': rows})
            return
        versions = table.commit(transaction)
        self.standin.transactions.append(
            {'version': table.last_version, **asdict(transaction)},
        )
        self.answer_after_write(OK, {'versions': versions})


class RowHandler(PlatformHandler):
    """Read of one row."""

    def get(self) -> None:
        """Answer with the row or 404."""
        row = self.standin.table.describe(self.get_argument('key'))
        if row is None:
            self.answer(NOT_FOUND, {'code': 'absent'})
        else:
            self.answer(OK, row)


class ReadHandler(PlatformHandler):
    """Read of many rows."""

    def post(self) -> None:
        """Answer with the rows that exist."""
        table = self.standin.table
        rows = [table.describe(key) for key in self.read_json()['keys']]
        self.answer(OK, {'rows': [row for row in rows if row]})


class ScanHandler(PlatformHandler):
    """Read of rows with a common prefix, in order of their keys."""

    def get(self) -> None:
        """Answer with rows of a prefix after a key, up to a limit."""
        limit = int(self.get_argument('limit', str(MAX_SCAN_ROWS)))
        table = self.standin.table
        keys, more = table.scan(
            self.get_argument('prefix', ''),
            self.get_argument('after', ''),
            limit,
        )
        rows = [table.describe(key) for key in keys]
        self.answer(OK, {'rows': rows, 'more': more})


class ObjectHandler(PlatformHandler):
    """Write and read of an object."""

    def put(self, name: str) -> None:
        """Store bytes; with `If-None-Match: *` only if the name is new."""
        only_new = self.request.headers.get('If-None-Match') == '*'
        if only_new and name in self.standin.stored:
            self.answer(PRECONDITION_FAILED, {'code': 'exists'})
            return
        self.standin.stored[name] = self.request.body
        self.answer_after_write(CREATED, {})

    def get(self, name: str) -> None:
        """Answer with the bytes or 404."""
        stored = self.standin.stored.get(name)
        if stored is None:
            self.answer(NOT_FOUND, {'code': 'absent'})
            return
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(stored)


class ObjectsHandler(PlatformHandler):
    """List of object names."""

    def get(self) -> None:
        """Answer with sorted names of a prefix after a name."""
        prefix = self.get_argument('prefix', '')
        after = self.get_argument('after', '')
        names = [
            name
            for name in sorted(self.standin.stored)
            if name.startswith(prefix) and name > after
        ]
        self.answer(OK, {'names': names[:MAX_SCAN_ROWS]})


class HostsHandler(PlatformHandler):
    """The list of hosts."""

    def put(self, name: str) -> None:
        """Store the entry that a host sent of itself."""
        self.standin.hosts.put(name, self.read_json(), time.monotonic())
        self.set_status(NO_CONTENT)
        self.finish()

    def get(self, name: str | None = None) -> None:
        """Answer with the hosts as of `host_list_lag_s` ago."""
        lag_s = self.standin.switches.host_list_lag_s
        hosts = self.standin.hosts.read(time.monotonic() - lag_s)
        self.answer(OK, {'hosts': hosts})


class WeightsHandler(PlatformHandler):
    """The weight store, with slow transfers and a rate limit."""

    async def post(self) -> None:
        """Answer after the transfer, or with 429 over the rate limit."""
        switches = self.standin.switches
        wait_s = self.standin.weights.admit(
            switches.weights_per_s,
            time.monotonic(),
        )
        if wait_s:
            self.set_header('Retry-After', str(math.ceil(wait_s)))
            self.answer(TOO_MANY_REQUESTS, {'code': 'rate_limited'})
            return
        await asyncio.sleep(switches.weight_ms / control.MS_PER_S)
        self.answer(OK, {'name': self.read_json().get('name')})


def read_transaction(body: dict[str, Any]) -> Transaction:
    """Return the transaction that a body describes."""
    conditions = body.get('conditions', [])
    puts = body.get('puts', [])
    return Transaction(
        conditions={entry['key']: entry['version'] for entry in conditions},
        puts={entry['key']: entry['value'] for entry in puts},
        deletes=body.get('deletes', []),
    )


def make_platform_application(platform: Platform) -> Application:
    """Return the platform's HTTP application."""
    routes = [
        ('/table/commit', CommitHandler),
        ('/table/row', RowHandler),
        ('/table/read', ReadHandler),
        ('/table/scan', ScanHandler),
        ('/objects', ObjectsHandler),
        ('/objects/(.+)', ObjectHandler),
        ('/hosts', HostsHandler),
        ('/hosts/(.+)', HostsHandler),
        ('/weights/fetch', WeightsHandler),
    ]
    return control.make_application(platform, routes)
