"""Windows of servers that start or recover, over one host and many."""

import heapq
import itertools
import random

import pytest

from celerywharf.backends import (
    Directory,
    EngineReport,
    Loads,
    ServerHealth,
)
from celerywharf.backends._starts import SETTLING_S
from tests.backends.test_directory import SERVICE, make_server

STEP_S = 0.01
SLOTS = 16
FIRST_S = 0.5  # from a send to the first part of its answer
WHOLE_S = 2.0
REPORT_LAG_S = 0.15
START_S = 100.0
LONG_S = 180.0
AIM_S = 4.0  # callers want the first part of a stream within this time
HOSTS = (1, 7, 87, 195)


class Server:
    """A server with slots and a queue, and what it has in progress."""

    def __init__(
        self, first_s=FIRST_S, *, whole_s=WHOLE_S, tokens=0, is_bad=False
    ):
        self.entry = make_server('new', slots=SLOTS, born_ms=2)
        self.first_s = first_s
        self.whole_s = whole_s
        self.tokens = tokens
        self.is_bad = is_bad
        self.in_progress = 0
        self.answering = 0
        self.most = 0
        self.received = 0
        self.reports = []

    def take(self):
        self.received += 1
        self.in_progress += 1
        self.most = max(self.most, self.in_progress)

    def report(self, now_s):
        """Return what was so some 150 ms ago."""
        self.reports.append((now_s, self.in_progress, self.answering))
        while len(self.reports) > 1 and (
            self.reports[1][0] <= now_s - REPORT_LAG_S
        ):
            self.reports.pop(0)
        _, running, answering = self.reports[0]
        return EngineReport(0, running, running - answering, 0, 0, 2)


class Host:
    """A host that knows the server as new and others as usual."""

    def __init__(self, hosts, rate_per_s, seed):
        directory = Directory()
        others = [make_server(name) for name in ('old', 'older', 'oldest')]
        directory.replace_all(others, START_S - 50)
        loads = Loads()
        self.health = ServerHealth(directory, loads, random.Random(seed))
        for other in others:
            self.health.started(other)
        self.health.windows.hosts = lambda: hosts
        for number in range(16):
            self.health.windows.demand.answered(SERVICE, FIRST_S)
            loads.started('old', 0, START_S - number / rate_per_s)
        self.directory = directory
        self.loads = loads
        self.first_use_s = None


class Loop:
    """Hosts whose requests all want the new server, and that server.

    A request that the host may not send there waits for the next moment, at
    the other servers; how many went there is counted.
    """

    def __init__(self, hosts, rate_per_s, server, *, reports=True):
        self.random = random.Random(hosts)
        self.server = server
        self.reports = reports
        self.rate_per_s = rate_per_s
        self.hosts = [
            Host(hosts, rate_per_s / hosts, seed) for seed in range(hosts)
        ]
        self.now_s = START_S
        self.events = []
        self.order = itertools.count()
        self.sent_elsewhere = 0
        self.usable_from_s = self.now_s
        self.kept_out_at_s = []
        self.shares_at_s = None
        for host in self.hosts:
            host.directory.update(server.entry, self.now_s)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self.events and self.events[0][0] <= self.now_s:
                heapq.heappop(self.events)[2]()
            self.server.report(self.now_s)
            arrivals = self.rate_per_s * STEP_S
            while self.random.random() < arrivals:
                arrivals -= 1
                self._arrive(self.random.choice(self.hosts))
            if self.server.in_progress >= SLOTS / 2:
                self.shares_at_s = self.shares_at_s or self.now_s - START_S

    def _arrive(self, host):
        entry = self.server.entry
        host.loads.started('old', 0, self.now_s)
        if host.health.usable(entry, self.now_s) and self.reports:
            report = self.server.report(self.now_s)
            host.loads.report(entry.name, report, self.now_s)
        if not host.health.usable(entry, self.now_s):
            self.sent_elsewhere += 1
            self._record_kept_out(host)
            return
        host.first_use_s = host.first_use_s or self.now_s
        host.loads.started(entry.name, self.server.tokens, self.now_s)
        host.health.started(entry)
        self.server.take()
        first_s = 0.1 if self.server.is_bad else self.server.first_s
        self._at(first_s, lambda: self._first(host, first_s))

    def _record_kept_out(self, host):
        """Record a request kept out of free slots longer than callers wait.

        A host may need a trial of its own.
        """
        since_s = host.first_use_s or self.usable_from_s
        has_room = self.server.in_progress < SLOTS
        if has_room and self.now_s - since_s > AIM_S:
            self.kept_out_at_s.append(self.now_s - START_S)

    def _first(self, host, first_s):
        if self.server.is_bad:
            self._end(host)
            host.health.failed(self.server.entry, self.now_s)
            return
        self.server.answering += 1
        if self.server.tokens:
            host.loads.prefilled('new')
        host.health.windows.answered(self.server.entry, first_s, self.now_s)
        self._at(self.server.whole_s - FIRST_S, lambda: self._whole(host))

    def _whole(self, host):
        self.server.answering -= 1
        self._end(host)
        host.health.succeeded(self.server.entry, self.now_s)

    def _end(self, host):
        self.server.in_progress -= 1
        host.loads.ended('new', self.server.tokens)
        host.health.ended(self.server.entry)

    def _at(self, after_s, action):
        event = (self.now_s + after_s, next(self.order), action)
        heapq.heappush(self.events, event)


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('rate_per_s', [20, 80])
@pytest.mark.parametrize('reports', [True, False])
def test_a_sound_server_soon_carries_its_share_without_a_flood(
    hosts, rate_per_s, reports
):
    loop = Loop(hosts, rate_per_s, Server(), reports=reports)
    loop.run(FIRST_S * 0.9)
    # Before its first answers, twice what it gets at once and chance.
    assert loop.server.most <= SLOTS / 2 + 4
    loop.run(WHOLE_S)
    assert loop.shares_at_s <= 0.75 * WHOLE_S


@pytest.mark.parametrize('hosts', HOSTS)
def test_a_server_that_is_bad_is_left_quickly(hosts):
    loop = Loop(hosts, 80, Server(is_bad=True))
    loop.run(1.5)
    assert loop.server.most <= SLOTS
    # Without windows each host would lose three requests.
    assert loop.server.received <= 2 * SLOTS


@pytest.mark.parametrize('hosts', HOSTS)
def test_a_server_that_is_slow_at_first_is_not_flooded(hosts):
    loop = Loop(hosts, 80, Server(first_s=FIRST_S * 5))
    loop.run(FIRST_S * 4)
    assert loop.server.most <= 1.5 * SLOTS


def _recover(hosts, rate_per_s, server, *, reports=True):
    """Return a loop whose server every host has just ejected."""
    loop = Loop(hosts, rate_per_s, server, reports=reports)
    for host in loop.hosts:
        until_s = loop.now_s + 0.5
        host.health.windows.ejected(loop.server.entry, until_s)
        host.health.outliers.skip('new', loop.now_s - 0.5)
    loop.run(0.45)
    loop.usable_from_s = loop.now_s
    assert not loop.server.received
    return loop


@pytest.mark.parametrize('hosts', HOSTS)
def test_a_server_after_an_ejection_is_tried_by_few_hosts_at_once(hosts):
    loop = _recover(hosts, 80, Server())
    loop.run(FIRST_S * 0.9)
    assert loop.server.most <= 6
    loop.run(2 * WHOLE_S)
    assert loop.shares_at_s <= 0.5 + 1.5 * WHOLE_S


@pytest.mark.parametrize('hosts', HOSTS)
def test_a_server_that_is_bad_after_an_ejection_gets_few_requests(hosts):
    loop = _recover(hosts, 80, Server(is_bad=True))
    loop.run(2)
    assert loop.server.received <= min(2 + hosts, SLOTS)


def _fill_with_long_streams(loop):
    loop.run(AIM_S + 3 * SLOTS / loop.rate_per_s)
    assert loop.server.in_progress >= SLOTS
    assert not loop.kept_out_at_s


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('rate_per_s', [0.25, 1])
@pytest.mark.parametrize('first_s', [FIRST_S, 3 * FIRST_S])
@pytest.mark.parametrize('reports', [True, False])
def test_rare_long_streams_are_not_kept_out_of_free_slots(
    hosts, rate_per_s, first_s, reports
):
    server = Server(first_s, whole_s=LONG_S, tokens=100)
    loop = Loop(hosts, rate_per_s, server, reports=reports)
    _fill_with_long_streams(loop)


@pytest.mark.parametrize('hosts', HOSTS)
@pytest.mark.parametrize('rate_per_s', [0.25, 1])
@pytest.mark.parametrize('first_s', [FIRST_S, 3 * FIRST_S])
@pytest.mark.parametrize('reports', [True, False])
def test_rare_long_streams_use_a_recovered_server_soon(
    hosts, rate_per_s, first_s, reports
):
    server = Server(first_s, whole_s=LONG_S, tokens=100)
    loop = _recover(hosts, rate_per_s, server, reports=reports)
    _fill_with_long_streams(loop)


def test_a_host_that_has_just_started_opens_no_window():
    directory = Directory()
    health = ServerHealth(directory, Loads())
    directory.update(make_server('early'), START_S)
    directory.replace_all([make_server('early')], START_S)
    directory.update(make_server('late'), START_S + SETTLING_S / 2)
    assert not health.windows.windows
    directory.update(make_server('new'), START_S + SETTLING_S)
    assert set(health.windows.windows) == {'new'}


def test_an_entry_that_comes_back_opens_no_window():
    directory = Directory()
    health = ServerHealth(directory, Loads())
    server = make_server('old')
    directory.replace_all([server], START_S)
    directory.removed('old', START_S + 10)
    back = make_server('old', sequence=2)
    directory.update(back, START_S + 11)
    assert not health.windows.windows
    restarted = make_server('old', born_ms=9)
    directory.update(restarted, START_S + 12)
    assert set(health.windows.windows) == {'old'}


def test_a_new_incarnation_is_not_kept_out_for_what_the_last_one_failed():
    directory = Directory()
    health = ServerHealth(directory, Loads())
    servers = [make_server(f's{number}') for number in range(4)]
    directory.replace_all(servers, START_S)
    for server in servers:
        health.started(server)
    for _ in range(3):
        health.failed(servers[0], START_S + 10)
    assert not health.usable(servers[0], START_S + 11)
    restarted = make_server('s0', born_ms=9)
    directory.update(restarted, START_S + 11.2)
    assert health.usable(restarted, START_S + 11.2)


def test_a_server_that_still_warms_up_grows_by_answers_only():
    directory = Directory()
    health = ServerHealth(directory, Loads())
    directory.replace_all([], START_S)
    now_s = START_S + 10
    cold = make_server('cold', slots=SLOTS, warm_up_left_s=5)
    directory.update(cold, now_s)
    health.usable(cold, now_s + 4)
    window = health.windows.windows['cold']
    assert window.size == SLOTS / 4
    health.windows.answered(cold, FIRST_S, now_s + 4)
    assert window.size == SLOTS / 2
    health.usable(cold, now_s + 6)
    assert window.size == SLOTS
    health.windows.answered(cold, FIRST_S, now_s + 6)
    assert 'cold' not in health.windows.windows


def test_a_server_without_slots_may_be_tried_after_an_ejection():
    health = ServerHealth(Directory(), Loads())
    server = make_server('new', slots=0)
    health.windows.ejected(server, START_S)
    assert health.usable(server, START_S + 10)


def test_refusals_and_slow_answers_halve_and_are_told():
    changes = []
    health = ServerHealth(Directory(), Loads())
    windows = health.windows
    windows.subscribers.append(changes.append)
    server = make_server('new', slots=SLOTS)
    windows.demand.answered(SERVICE, FIRST_S)
    windows.started(server, START_S)
    health.refused(server, START_S)
    windows.answered(server, FIRST_S * 5, START_S)
    windows.answered(server, FIRST_S * 3, START_S)
    for _ in range(4):
        windows.answered(server, FIRST_S, START_S)
    assert [(change.event, change.size) for change in changes] == [
        ('opened', 4),
        ('halved', 2),
        ('halved', 1),
        ('raised', 2),
        ('raised', 4),
        ('raised', 8),
        ('closed', 16),
    ]


def _make_fleet():
    directory = Directory()
    health = ServerHealth(directory, Loads())
    servers = [make_server(f's{number}') for number in range(4)]
    directory.replace_all(servers, START_S)
    for server in servers:
        health.started(server)
    for _ in range(3):
        health.failed(servers[0], START_S + 10)
    return health, servers[0]


@pytest.mark.parametrize('end', ['failed', 'refused'])
def test_a_server_that_fails_now_and_then_is_ejected_again(end):
    health, grey = _make_fleet()
    now_s = START_S + 13
    assert health.usable(grey, now_s)
    health.windows.answered(grey, FIRST_S, now_s)
    health.succeeded(grey, now_s)
    getattr(health, end)(grey, now_s)
    # Longer than the first time.
    assert not health.usable(grey, now_s + 3.9)


def test_a_server_that_was_ejected_twice_stays_so_when_it_restarts():
    health, flapping = _make_fleet()
    health.failed(flapping, START_S + 13)
    restarted = make_server('s0', born_ms=9)
    health.directory.update(restarted, START_S + 14)
    assert not health.usable(restarted, START_S + 16)
    assert health.windows.windows['s0'].size < SLOTS
