"""A large configuration reaches the hosts of a zone over slow links."""

import asyncio
import json

import pytest

from celerywharf.platform import boot_time_s
from celerywharf.sharing import _reader_calls
from celerywharf.wire.sharing import TableQuestion
from tests.sharing.simulated_fleet import Pipe, SimulatedFleet
from tests.virtual_loop import run_virtually

HOST_BYTES_PER_S = 10e6 / 8
REGION_BYTES_PER_S = 30e6 / 8
APPLY_S = 2.5
SLOW_APPLY_S = 4.0
REVOKE_S = 5.0
SETTLES_S = 4.0
SAMPLE_S = 0.02


class Growth:
    """A zone whose configuration grows.

    Attributes:
        in_force_s: when each front had it, seconds after the store's
            acknowledgement.
        accepted_s: how long a front accepted the key that is gone.
        refusing: samples of fronts that accepted no key at all.
    """

    def __init__(self, hosts, routes, zones=1):
        self.fleet = SimulatedFleet(
            {
                f'f{number}': f'north-{number % zones}'
                for number in range(hosts * zones)
            }
        )
        self.fleet.network.host_bytes_per_s = HOST_BYTES_PER_S
        self.fleet.network.region = Pipe(REGION_BYTES_PER_S)
        self.routes = routes
        self.in_force_s = {}
        self.accepted_s = 0
        self.refusing = []
        self.disturbances = {}

    def reader(self):
        return next(
            each.name
            for each in self.fleet.fronts.values()
            if each.shared.is_reader
        )

    async def play(self, watched_s=8.0):
        fleet = self.fleet
        fleet.start()
        await asyncio.sleep(SETTLES_S)
        fleet.calls.clear()
        for link in fleet.network.links.values():
            link.carried_bytes = 0
        self.first_reader = self.reader()
        fleet.routes += self.routes
        old_key = f'key-{fleet.version}'
        fleet.configure()
        began_s = boot_time_s()
        while boot_time_s() < began_s + watched_s:
            await asyncio.sleep(SAMPLE_S)
            since_s = boot_time_s() - began_s
            self._disturb(since_s)
            for front in fleet.fronts.values():
                self._sample(front, since_s, old_key)
        await fleet.stop()

    def kill_reader(self):
        restarting = self.fleet.restart(self.first_reader)
        self.restarting = asyncio.ensure_future(restarting)

    def answer_bytes(self):
        """Return the size of the store's answer with the configuration."""
        store = self.fleet.store
        return len(json.dumps(store.answer(store.rows('op'))))

    def total(self, metric):
        return sum(
            front.shared.metrics.total(metric)
            for front in self.fleet.fronts.values()
        )

    def _disturb(self, since_s):
        for at_s in tuple(self.disturbances):
            if since_s >= at_s:
                self.disturbances.pop(at_s)()

    def _sample(self, front, since_s, old_key):
        if front.cache.configuration is None:
            return
        if front.cache.configuration.version == self.fleet.version:
            self.in_force_s.setdefault(front.name, since_s)
        if not front.cache.accepts_keys(boot_time_s()):
            self.refusing.append((front.name, since_s))
        if old_key in front.accounts:
            self.accepted_s = max(self.accepted_s, since_s)


@pytest.mark.parametrize('hosts', [15, 35, 50])
@pytest.mark.parametrize(
    ('routes', 'apply_s'),
    [(400, APPLY_S), (1700, APPLY_S), (5000, SLOW_APPLY_S)],
)
def test_all_hosts_have_a_large_configuration_in_time(hosts, routes, apply_s):
    growth = Growth(hosts, routes)
    run_virtually(growth.play)
    assert len(growth.in_force_s) == hosts
    assert max(growth.in_force_s.values()) < apply_s
    assert growth.accepted_s < max(growth.in_force_s.values())
    assert not growth.refusing
    assert set(growth.fleet.calls) == {growth.first_reader}


def test_zones_share_the_link_of_their_region():
    growth = Growth(15, 1700, zones=3)
    run_virtually(growth.play)
    assert len(growth.in_force_s) == 45
    assert max(growth.in_force_s.values()) < APPLY_S
    assert not growth.refusing
    assert len(growth.fleet.calls) == 3


# While it receives the configuration, and while it gives it to others.
@pytest.mark.parametrize('killed_s', [0.2, 0.4, 0.72, 0.8])
def test_a_reader_that_dies_does_not_stop_its_zone(killed_s):
    growth = Growth(15, 1700)
    growth.disturbances[killed_s] = growth.kill_reader
    run_virtually(growth.play)
    assert max(growth.in_force_s.values()) < SLOW_APPLY_S
    assert growth.accepted_s < REVOKE_S
    others = {name for name, _ in growth.refusing} - {growth.first_reader}
    assert not others
    # The content left the store for one front of the zone, or twice.
    carried_bytes = growth.fleet.network.region.carried_bytes
    assert carried_bytes < 3 * growth.answer_bytes()


def test_a_host_of_an_earlier_build_gets_the_whole_row(monkeypatch):
    growth = Growth(3, 1700)
    monkeypatch.setattr(_reader_calls, 'TableQuestion', question_as_before)
    run_virtually(growth.play)
    assert len(growth.in_force_s) == 3
    assert not growth.total('content_bytes_sent')


def question_as_before(*fields, by_digest, known, by_snapshot):
    return TableQuestion(*fields)
