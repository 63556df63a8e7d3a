"""The stand-in plain service: purchases, bookings, lookups and balances."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

import xxhash
from tornado.web import Application

from standins import control

OK = 200
CREATED = 201
FAILED = 500


@dataclass(slots=True)
class ApplicationSwitches(control.Switches):
    """Failure switches of the plain service; `close_*` are counts."""

    close_after_read: int = 0
    close_after_run: int = 0
    fail_ratio: float = 0


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """A call that took effect."""

    path: str
    item: str
    request_id: str
    number: int

    def describe(self) -> dict[str, Any]:
        """Return the run as the record tells it."""
        return {
            'path': self.path,
            'item': self.item,
            'request_id': self.request_id,
            'id': self.number,
        }


class PlainService(control.Standin):
    """Runs calls and remembers each run."""

    switches: ApplicationSwitches

    def __init__(self, name: str, seed: int) -> None:
        super().__init__(ApplicationSwitches())
        self.name = name
        self.rng = random.Random(seed)
        self.runs: list[ServiceRun] = []
        self.reads: Counter[str] = Counter()
        self.received = 0
        self.counts: Counter[tuple[str, str]] = Counter()

    def run(self, path: str, item: str, request_id: str) -> dict[str, Any]:
        """Make a purchase or booking; twice is two of them."""
        run = ServiceRun(path, item, request_id, len(self.runs) + 1)
        self.runs.append(run)
        self.counts[path, item] += 1
        return {
            'id': run.number,
            'item': item,
            'count': self.counts[path, item],
        }

    def read(self, path: str, key: str) -> dict[str, Any]:
        """Look a key up; the value depends on the key alone."""
        self.reads[path] += 1
        return {'key': key, 'value': xxhash.xxh32_intdigest(key.encode())}

    def record(self) -> dict[str, Any]:
        """Return every run, and how often each path was read."""
        return {
            'name': self.name,
            'runs': [run.describe() for run in self.runs],
            'reads': self.reads,
            'received': self.received,
        }


class ServiceHandler(control.OuterHandler):
    """A call to the plain service."""

    standin: PlainService

    async def prepare(self) -> None:
        """Suffer the switches; `close_after_read` cuts before the run."""
        self.standin.received += 1
        await super().prepare()
        switches = self.standin.switches
        if not self._finished and switches.close_after_read > 0:
            switches.close_after_read -= 1
            self.cut()

    def conclude(self, status: int, body: dict[str, Any]) -> None:
        """Answer after a run, or lose the answer as the switches say."""
        switches = self.standin.switches
        if switches.close_after_run > 0:
            switches.close_after_run -= 1
            self.cut()
        elif self.standin.rng.random() < switches.fail_ratio:
            self.answer(FAILED, {'code': 'internal_error'})
        else:
            self.answer(status, body)


class RunHandler(ServiceHandler):
    """Purchases and bookings: not idempotent."""

    def post(self) -> None:
        """Run once and answer 201."""
        item = str(self.read_json().get('item', ''))
        request_id = self.request.headers.get('Request-Id', '')
        body = self.standin.run(self.request.path, item, request_id)
        self.conclude(CREATED, body)


class ReadHandler(ServiceHandler):
    """Lookups and balances: idempotent."""

    def get(self, key: str) -> None:
        """Answer the value of a key."""
        self.conclude(OK, self.standin.read(self.request.path, key))


def make_service_application(service: PlainService) -> Application:
    """Return the plain service's HTTP application."""
    routes = [
        ('/purchases', RunHandler),
        ('/bookings', RunHandler),
        ('/lookups/(.+)', ReadHandler),
        ('/balances/(.+)', ReadHandler),
    ]
    return control.make_application(service, routes)
