"""Stand-in for a plain service: purchases, bookings, lookups and balances."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

import xxhash
from tornado.web import Application

from standins import control

OK = 200
CREATED = 201
INTERNAL_SERVER_ERROR = 500


@dataclass(slots=True)
class ApplicationSwitches(control.Switches):
    """Failure switches of the plain service.

    Attributes:
        close_after_read: how many calls to reset before they run.
        close_after_run: how many calls to reset after they ran.
        fail_ratio: share of calls that run and are answered with 500.
    """

    close_after_read: int = 0
    close_after_run: int = 0
    fail_ratio: float = 0


@dataclass(frozen=True, slots=True)
class ServiceRun:
    """A purchase or booking that took effect."""

    path: str
    item: str
    request_id: str
    number: int

    def describe(self) -> dict[str, Any]:
        """Return the run as an entry of ``/record``."""
        return {
            'path': self.path,
            'item': self.item,
            'request_id': self.request_id,
            'id': self.number,
        }


class PlainService(control.Standin):
    """Runs calls and records each run."""

    switches: ApplicationSwitches

    def __init__(self, name: str, seed: int) -> None:
        super().__init__(ApplicationSwitches())
        self.name = name
        self.rng = random.Random(seed)
        self.runs: list[ServiceRun] = []
        self.reads: Counter[str] = Counter()
        self.call_count = 0
        self.counts: Counter[tuple[str, str]] = Counter()

    def run(self, path: str, item: str, request_id: str) -> dict[str, Any]:
        """Make a purchase or booking; each call makes a new one."""
        run = ServiceRun(path, item, request_id, len(self.runs) + 1)
        self.runs.append(run)
        self.counts[path, item] += 1
        return {
            'id': run.number,
            'item': item,
            'count': self.counts[path, item],
        }

    def read(self, path: str, key: str) -> dict[str, Any]:
        """Return the value of a key, which depends on the key alone."""
        self.reads[path] += 1
        return {'key': key, 'value': xxhash.xxh32_intdigest(key.encode())}

    def record(self) -> dict[str, Any]:
        """Return all runs, and how often each path was read."""
        return {
            'name': self.name,
            'runs': [run.describe() for run in self.runs],
            'reads': self.reads,
            'received': self.call_count,
        }


class ServiceHandler(control.ProtocolHandler):
    """A call to the plain service."""

    standin: PlainService

    async def prepare(self) -> None:
        """Apply the switches; `close_after_read` resets before the run."""
        self.standin.call_count += 1
        await super().prepare()
        switches = self.standin.switches
        if not self._finished and switches.close_after_read > 0:
            switches.close_after_read -= 1
            self.drop_connection()

    def answer_after_run(self, status: int, body: dict[str, Any]) -> None:
        """Answer after a run; reset or answer 500 if a switch says so."""
        switches = self.standin.switches
        if switches.close_after_run > 0:
            switches.close_after_run -= 1
            self.drop_connection()
        elif self.standin.rng.random() < switches.fail_ratio:
            self.answer(INTERNAL_SERVER_ERROR, {'code': 'internal_error'})
        else:
            self.answer(status, body)


class RunHandler(ServiceHandler):
    """Purchases and bookings, which are not idempotent."""

    def post(self) -> None:
        """Run once and answer 201."""
        item = str(self.read_json().get('item', ''))
        request_id = self.request.headers.get('Request-Id', '')
        body = self.standin.run(self.request.path, item, request_id)
        self.answer_after_run(CREATED, body)


class ReadHandler(ServiceHandler):
    """Lookups and balances, which are idempotent."""

    def get(self, key: str) -> None:
        """Answer with the value of a key."""
        self.answer_after_run(OK, self.standin.read(self.request.path, key))


def make_service_application(service: PlainService) -> Application:
    """Return the plain service's HTTP application."""
    routes = [
        ('/purchases', RunHandler),
        ('/bookings', RunHandler),
        ('/lookups/(.+)', ReadHandler),
        ('/balances/(.+)', ReadHandler),
    ]
    return control.make_application(service, routes)
