"""Choice by reports, with a transport that answers from a script."""

import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.transports import HttpResponse
from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import Reports
from celerywharf.structures import Address
from celerywharf.timers import TimerService
from tests.backends.test_directory import SERVICE, make_server

scenarios('reports.feature')


class Engines:
    """Engines that answer by a script, ranked by what is known of them."""

    def __init__(self):
        self.waiting = {}
        self.asked = 0
        self.placed = None
        self.loads = Loads()
        self.timers = TimerService()
        self.directory = Directory()
        self.health = ServerHealth(self.directory, self.loads)
        self.reports = Reports(self, self.timers, self.loads, self.health)

    async def fetch(self, request):
        """Answer a question for a report."""
        self.asked += 1
        waiting = self.waiting[request.url.split('/')[2].split(':')[0]]
        if waiting == 'dead':
            raise TransportError('nobody there')
        report = {
            'queued': int(waiting),
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 88000,
            'runs': [],
        }
        return HttpResponse(200, {}, json.dumps(report).encode())

    def rank(self):
        """Rank by prompts waiting; nothing is known to wait at first."""
        now_s = self.timers.now()
        servers = self.directory.usable(SERVICE)
        living = [one for one in servers if self.health.usable(one, now_s)]
        return sorted(
            living or servers,
            key=lambda one: self.loads.prompts(one.name, now_s),
        )


@pytest.fixture
def engines():
    return Engines()


@given('no engines')
def _nobody(engines):
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
    parsers.parse('it goes to {name:w} and {count:d} engines were asked'),
)
def _goes(engines, name, count):
    assert engines.placed.name == name
    assert engines.asked == count


@then('it goes nowhere')
def _nowhere(engines):
    assert engines.placed is None
