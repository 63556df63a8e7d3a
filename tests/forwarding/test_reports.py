"""Placement by load reports, with a transport that answers from a script."""

import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.transports import HttpResponse
from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import Reports
from celerywharf.limits import Clocks, ServerLimiter, StatedLimits
from celerywharf.structures import Address
from celerywharf.timers import TimerService
from tests.backends.test_directory import SERVICE, make_server

scenarios('reports.feature')

NOW_S = 100.0


class StoppedClock(TimerService):
    """Does not go on, however long the test is held up."""

    def now(self):
        """Return the same time always, seconds."""
        return NOW_S


class Engines:
    """Engines with scripted reports, ranked by their known load."""

    def __init__(self):
        self.waiting = {}
        self.probes = 0
        self.placed = None
        self.loads = Loads()
        self.timers = StoppedClock()
        self.directory = Directory()
        self.health = ServerHealth(self.directory, self.loads)
        self.reports = Reports(
            self,
            self.timers,
            self.loads,
            self.health,
            ServerLimiter(
                StatedLimits(),
                None,
                Clocks(self.timers.now, self.timers.now),
            ),
        )

    async def fetch(self, request):
        """Answer a probe with the scripted report."""
        self.probes += 1
        waiting = self.waiting[request.url.split('/')[2].split(':')[0]]
        if waiting == 'dead':
            raise TransportError('connection refused')
        report = {
            'queued': int(waiting),
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 88000,
            'runs': [],
        }
        return HttpResponse(200, {}, json.dumps(report).encode())

    def rank(self):
        """Rank by waiting prompts, of which none are known at first."""
        now_s = self.timers.now()
        servers = self.directory.usable(SERVICE)
        healthy = [
            server for server in servers if self.health.usable(server, now_s)
        ]
        return sorted(
            healthy or servers,
            key=lambda server: self.loads.prompts(server.name, now_s),
        )


@pytest.fixture
def engines():
    return Engines()


@given('no engines')
def _no_engines(engines):
    assert not engines.rank()


@given(
    parsers.re('engines (?P<names>.*) that report (?P<waits>.*) prompts .*'),
)
def _engines(engines, names, waits):
    for name, waiting in zip(names.split(), waits.split(), strict=True):
        engines.waiting[name] = waiting
        server = make_server(name, address=Address(name, 1))
        engines.directory.update(server, 0)


@when('a stream is placed')
def _place(engines):
    best = engines.reports.best(engines.rank, 2)
    engines.placed = asyncio.run(best)


@then(
    parsers.parse('it goes to {name:w} and {count:d} engines were probed'),
)
def _goes_to(engines, name, count):
    assert engines.placed.name == name
    assert engines.probes == count


@then('no engine is chosen')
def _no_engine_chosen(engines):
    assert engines.placed is None
