"""Placement while servers start again and the others are at their limit."""

import random

import pytest

from celerywharf.backends import (
    Demand,
    Directory,
    EngineReport,
    Loads,
    Placement,
    ServerHealth,
)
from celerywharf.backends._servers import ServerLoad
from tests.backends.test_directory import SERVICE, make_server

SLOTS = 16
START_S = 100.0
CAPACITY_TOKENS = 88_000
STREAM = Demand(SERVICE, tokens=4_000, capacity_tokens=CAPACITY_TOKENS)
CALL = Demand(SERVICE)
OTHERS = ('north', 'south', 'east')
HOSTS = (1, 7, 87, 195)
ROUNDS = 40


class Host:
    """A host that knows the load of busy servers, and one that started."""

    def __init__(self, hosts, seed=0):
        self.directory = Directory()
        self.loads = Loads()
        chance = random.Random(seed)
        self.health = ServerHealth(self.directory, self.loads, chance)
        self.health.windows.hosts = lambda: hosts
        self.placement = Placement(
            self.directory, self.loads, self.health, 'north-1', {}, chance
        )
        self.others = [make_server(name, slots=SLOTS) for name in OTHERS]
        self.directory.replace_all(self.others, START_S - 50)
        for other in self.others:
            self.health.started(other)

    def start(self, name='new'):
        server = make_server(name, slots=SLOTS, born_ms=2)
        self.directory.update(server, START_S)
        return server

    def others_have(self, running, waiting, now_s):
        used = CAPACITY_TOKENS * running // (SLOTS + 1)
        for other in self.others:
            report = EngineReport(
                waiting, running, 0, used, CAPACITY_TOKENS, born_ms=1
            )
            self.loads.report(other.name, report, now_s)
            load = ServerLoad(running, waiting, SLOTS)
            self.loads.reported(other, load, now_s)

    def window(self, name):
        windows = self.health.windows
        return windows.windows[name]

    def fill_window(self, server, now_s):
        """Let the server state that as much is there as its window allows."""
        window = self.window(server.name)
        load = ServerLoad(int(window.size), 0, SLOTS)
        self.loads.reported(server, load, now_s)
        assert not self.health.usable(server, now_s)


def _choices(hosts, demand, *, running, waiting):
    """Return where hosts without a share of the window send a request."""
    chosen = set()
    for seed in range(ROUNDS):
        host = Host(hosts, seed)
        new = host.start()
        host.others_have(running, waiting, START_S)
        host.fill_window(new, START_S)
        chosen.add(host.placement.choose(demand, START_S).name)
    return chosen


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('demand', [CALL, STREAM])
def test_a_started_server_is_preferred_to_longer_queues(hosts, demand):
    chosen = _choices(hosts, demand, running=SLOTS, waiting=SLOTS // 2)
    assert chosen == {'new'}


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('demand', [CALL, STREAM])
def test_a_window_holds_while_others_have_free_slots(hosts, demand):
    chosen = _choices(hosts, demand, running=SLOTS // 2, waiting=0)
    assert 'new' not in chosen


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('demand', [CALL, STREAM])
def test_an_ejected_server_is_tried_rather_than_very_long_queues(hosts, demand):
    host = Host(hosts)
    new = host.start()
    host.health.windows.ejected(new, START_S)
    host.fill_window(new, START_S)
    host.others_have(SLOTS, SLOTS // 2, START_S)
    chosen = host.placement.choose(CALL, START_S)
    assert chosen.name in OTHERS
    host.others_have(SLOTS, SLOTS * 6, START_S)
    assert host.placement.choose(demand, START_S) == new


def test_a_request_beyond_the_window_is_told():
    host = Host(87)
    changes = []
    host.health.windows.subscribers.append(changes.append)
    new = host.start()
    host.fill_window(new, START_S)
    host.health.started(new)
    events = [(change.event, change.reason.name) for change in changes]
    assert events == [('opened', 'started'), ('exceeded', 'started')]


def test_an_engine_that_grants_leases_is_not_limited_when_it_starts():
    host = Host(87)
    host.health.windows.grants_leases = lambda service: service == SERVICE
    new = host.start()
    assert not host.health.windows.windows
    assert host.health.usable(new, START_S)


def test_an_engine_that_grants_leases_is_still_tried_after_an_ejection():
    host = Host(87)
    host.health.windows.grants_leases = lambda service: service == SERVICE
    new = host.start()
    for _ in range(3):
        host.health.failed(new, START_S)
    assert host.window('new').size == 1


def test_a_restart_of_an_engine_that_grants_leases_ends_its_window():
    host = Host(87)
    host.health.windows.grants_leases = lambda service: service == SERVICE
    new = host.start()
    for _ in range(3):
        host.health.failed(new, START_S)
    again = make_server('new', slots=SLOTS, born_ms=3)
    host.directory.update(again, START_S + 1)
    assert host.health.usable(again, START_S + 1)
    assert not host.health.windows.windows


def test_copies_of_runs_may_go_to_a_server_with_a_full_window():
    host = Host(87)
    far = make_server('new', 'south-1', slots=SLOTS, born_ms=2)
    host.directory.update(far, START_S)
    host.fill_window(far, START_S)
    assert host.placement.backups(host.others[0], STREAM, START_S) == [far]
