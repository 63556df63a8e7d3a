"""Placement of streams and calls under load, by replay."""

import random

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import (
    Demand,
    Directory,
    EngineReport,
    Loads,
    Placement,
    ServerHealth,
)
from tests.backends.test_directory import SERVICE, make_server

scenarios('placement.feature')

NOW_S = 100.0
CAPACITY_TOKENS = 88_000
STREAM = Demand(SERVICE, tokens=9_000, capacity_tokens=CAPACITY_TOKENS)
CALL = Demand(SERVICE)
DRAWS = 30


class World:
    """One host's view, at a time that each step moves on."""

    def __init__(self):
        self.now_s = NOW_S
        self.directory = Directory()
        self.loads = Loads()
        self.health = ServerHealth(self.directory, self.loads)
        self.placement = Placement(
            self.directory,
            self.loads,
            self.health,
            'near-1',
            {'near-1': 'near', 'near-2': 'near', 'far-1': 'far'},
            random.Random(1),
        )

    def add(self, names, zone):
        """Let servers appear."""
        for name in names.split():
            self.directory.update(make_server(name, zone), self.now_s)
        self.now_s += 0.1

    def report(self, name, waiting=0, used=0):
        """Take a report."""
        report = EngineReport(
            waiting=waiting,
            running=0,
            prefilling=0,
            used_tokens=used,
            capacity_tokens=CAPACITY_TOKENS,
            born_ms=1,
        )
        self.now_s += 0.01
        self.loads.report(name, report, self.now_s)

    def places(self, demand):
        """Return all places that equal draws give."""
        return {
            self.placement.choose(demand, self.now_s).name for _ in range(DRAWS)
        }


@given(
    'zones near-1 and near-2 in one region and far-1 in another',
    target_fixture='world',
)
def _world():
    return World()


@given('a host in near-1')
def _host(world):
    assert world.placement.availability_zone == 'near-1'


@given(parsers.parse('servers {names} in {zone}'))
@when(parsers.parse('servers {names} appear in {zone}'))
def _more(world, names, zone):
    world.add(names, zone)


@when(parsers.parse('a1 and a2 each report {waiting:d} prompts waiting'))
def _waiting(world, waiting):
    world.report('a1', waiting)
    world.report('a2', waiting)


@when(parsers.parse('{name} reports {waiting:d} prompts waiting'))
def _one_waiting(world, name, waiting):
    world.report(name, waiting)


@when(parsers.parse('{name} reports {used:d} tokens used'))
def _used(world, name, used):
    world.report(name, used=used)


@when(parsers.parse('{count:d} streams are placed at once'))
def _placed(world, count):
    for _ in range(count):
        server = world.placement.choose(STREAM, world.now_s)
        world.loads.started(server.name, STREAM.tokens, world.now_s)


@when(parsers.re('(?P<name>[a-z][0-9]) is lost'))
def _lost(world, name):
    world.now_s += 0.01
    world.health.lost(world.directory.servers[name], world.now_s)


@when('every server is lost')
def _all_lost(world):
    for server in tuple(world.directory.servers.values()):
        world.health.unreachable(server, world.now_s)


@then(parsers.parse('a stream goes to one of {names}'))
def _stream(world, names):
    assert world.places(STREAM) <= set(names.split())


@then(parsers.parse('a call goes to one of {names}'))
def _call(world, names):
    assert world.places(CALL) <= set(names.split())


@then(parsers.parse('no server has more than {most:d} of them'))
def _spread(world, most):
    names = world.directory.servers
    assert max(world.loads.requests(name) for name in names) <= most


@then(parsers.parse('the copy of a stream on a1 is kept on one of {names}'))
def _copy(world, names):
    server = world.directory.servers['a1']
    kept = {
        world.placement.backups(server, STREAM, world.now_s)[0].name
        for _ in range(DRAWS)
    }
    assert kept <= set(names.split())


@then(parsers.parse('{name} is passed over'))
def _passed(world, name):
    assert name not in world.places(STREAM)
    assert name not in world.places(CALL)


@then(parsers.parse('none of {names} is suspect'))
def _trusted(world, names):
    for name in names.split():
        server = world.directory.servers[name]
        assert not world.health.suspect(server, world.now_s)


@given(
    parsers.parse('{far:d} more servers in far-1 and {near:d} more in near-1'),
)
def _many(world, far, near):
    world.add(' '.join(f'f{number}' for number in range(far)), 'far-1')
    world.add(' '.join(f'n{number}' for number in range(near)), 'near-1')


@then(parsers.parse('a ranking has {count:d} servers, none of them twice'))
def _ranking(world, count):
    ranked = world.placement.ranked(STREAM, world.now_s)
    assert len(ranked) == count
    assert len({server.name for server in ranked}) == count


@then('a stream goes to servers of near-1')
def _near(world):
    for name in world.places(STREAM):
        server = world.directory.servers[name]
        assert server.availability_zone == 'near-1'


@given('a1 has a stream under way and a2 has had one')
def _under_way(world):
    for name in ('a1', 'a2'):
        server = world.directory.servers[name]
        world.loads.started(name, STREAM.tokens, world.now_s)
        world.health.started(server)
    _ends(world, 'a2')


@when('a1 and a2 are gone and everything is swept')
def _gone(world):
    for name in ('a1', 'a2'):
        world.directory.drop(name)
    world.health.sweep()


@when('the stream on a1 ends and everything is swept')
def _ended(world):
    _ends(world, 'a1')
    world.health.sweep()


def _ends(world, name):
    world.loads.ended(name, STREAM.tokens)
    world.health.ended(make_server(name))


@then('something is known of a1 and nothing of a2')
def _known(world):
    assert set(world.loads.loads) & {'a1', 'a2'} == {'a1'}
    assert set(world.health.outliers.records) & {'a1', 'a2'} == {'a1'}


@then('nothing is known of a1')
def _unknown(world):
    assert 'a1' not in world.loads.loads
    assert 'a1' not in world.health.outliers.records
