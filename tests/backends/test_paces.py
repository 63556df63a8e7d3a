"""Placement by the pace of machines, one host and many with equal facts."""

import random
import time
from collections import Counter

import pytest

from celerywharf.backends import (
    Demand,
    Directory,
    Loads,
    Placement,
    ServerHealth,
    ServerLoad,
)
from celerywharf.backends._paces import Paces
from tests.backends.test_directory import SERVICE, make_server

NOW_S = 100.0
REGIONS = {'near-1': 'near', 'near-2': 'near', 'far-1': 'far'}
CALL = Demand(SERVICE)
STREAM = Demand(SERVICE, tokens=9_000, capacity_tokens=88_000)


class Host:
    """The parts of one host that place requests."""

    def __init__(self, servers, seed=1):
        self.servers = servers
        self.directory = Directory()
        self.loads = Loads()
        for server in servers:
            self.directory.update(server, NOW_S)
        self.placement = Placement(
            self.directory,
            self.loads,
            ServerHealth(self.directory, self.loads),
            'near-1',
            REGIONS,
            random.Random(seed),
        )

    def state(self, paces, now_s=NOW_S):
        """Record idle servers that state these paces."""
        for server, pace in zip(self.servers, paces, strict=True):
            self.loads.reported(server, ServerLoad(0, 0, 8, pace), now_s)

    def choose(self, demand=CALL, now_s=NOW_S):
        return self.placement.choose(demand, now_s).name


def make_servers(count, zone='near-1'):
    return [make_server(f'a{number}', zone) for number in range(count)]


def test_a_slow_idle_machine_is_worse_than_a_loaded_one():
    host = Host(make_servers(2))
    host.state([2.5, 1])
    host.loads.reported(host.servers[1], ServerLoad(4, 0, 8, 1), NOW_S)
    chosen = Counter(host.choose() for _ in range(200))
    assert chosen['a1'] > 150
    assert host.choose(STREAM) == 'a1'


def test_own_sends_since_the_statement_count():
    host = Host(make_servers(1))
    host.loads.reported(host.servers[0], ServerLoad(2, 0, 8, 1), NOW_S)
    for _ in range(4):
        host.loads.started('a0', 0, NOW_S + 0.01)
    assert host.loads.slots_used(host.servers[0], NOW_S + 0.02) == 6 / 8


def test_a_load_and_a_pace_are_forgotten_with_age():
    host = Host(make_servers(2))
    host.state([2.5, 1])
    later_s = NOW_S + 1
    assert host.loads.slots_used(host.servers[0], later_s) == 0
    assert host.loads.paces.expected(host.servers[0], later_s) == 1
    assert {host.choose(now_s=later_s) for _ in range(50)} == {'a0', 'a1'}


@pytest.mark.parametrize('held_s', [0.1, 0.6, 3.0])
def test_how_long_a_statement_holds_is_measured(held_s):
    paces = Paces()
    source = random.Random(1)
    until_s = dict.fromkeys(range(20), 0)
    pace = dict.fromkeys(range(20), 1)
    for step in range(6000):
        now_s = step / 100
        number = source.randrange(20)
        if now_s >= until_s[number]:
            pace[number] = 2.5 if source.randrange(20) < 3 else 1.0
            until_s[number] = now_s + source.expovariate(1 / held_s)
        paces.record(str(number), pace[number], now_s)
    assert 100 * paces.validity(held_s * 8) <= 35
    assert paces.validity(held_s / 8) > paces.validity(held_s * 2)


@pytest.mark.parametrize('hosts', [7, 87, 195])
def test_hosts_with_equal_facts_share_by_expected_time(hosts):
    servers = make_servers(9)
    chosen = Counter()
    for seed in range(hosts):
        host = Host(servers, seed)
        host.state([1, 1.2, 1.2, 1.2, 1.2, 1.2, 1.2, 2.5, 2.5])
        chosen[host.choose()] += 1
        chosen[host.choose()] += 1
    # Twice its equal share and what chance adds.
    assert chosen['a0'] <= 4 * hosts / 9 * 1.3 + 3
    slow = chosen['a7'] + chosen['a8']
    assert slow <= 2 * hosts * 0.05 + 1


def test_a_near_server_is_left_for_another_zone_while_it_is_slow():
    near, other = make_server('a0', 'near-1'), make_server('b0', 'near-2')
    host = Host([near, other])
    host.state([2.5, 1])
    assert host.choose() == 'b0'
    host.state([1, 1], NOW_S + 0.01)
    assert host.choose(now_s=NOW_S + 0.01) == 'a0'


def test_a_silent_slow_server_is_judged_by_its_answers():
    host = Host(make_servers(5))
    source = random.Random(2)
    now_s = NOW_S
    for step in range(600):
        now_s += 0.02
        server = host.servers[step % 5]
        slow = 3.5 if step % 5 == 0 else 1
        answer_s = 0.02 * slow * source.lognormvariate(0, 0.5)
        host.loads.paces.answered(server, 'near', answer_s, now_s)
    chosen = Counter(host.choose(now_s=now_s) for _ in range(200))
    assert chosen['a0'] <= 20


def test_equal_servers_that_state_no_pace_are_chosen_as_by_load_alone():
    host = Host(make_servers(6))
    source = random.Random(3)
    now_s = NOW_S
    for step in range(2000):
        now_s += 0.01
        server = source.choice(host.servers)
        answer_s = 0.02 * source.lognormvariate(0, 0.5)
        host.loads.paces.answered(server, 'near', answer_s, now_s)
        if step % 20 == 0:
            for other in host.servers:
                assert host.loads.paces.expected(other, now_s) == 1


def test_a_placement_takes_microseconds_for_each_server():
    host = Host(make_servers(100))
    host.state([1.0 + number / 100 for number in range(100)])
    started_s = time.thread_time()
    for _ in range(20):
        host.choose()
    each_s = (time.thread_time() - started_s) / 20 / 100
    assert each_s * 1e6 <= 50  # 4 on an idle machine
