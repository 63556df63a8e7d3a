"""Placement of streams and calls under given loads and failures."""

import random
from dataclasses import replace

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
PLACEMENTS = 30


class SimulatedHost:
    """The parts of one host that place requests, with a simulated clock."""

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
        """Add servers to the directory."""
        for name in names.split():
            self.directory.update(make_server(name, zone), self.now_s)
        self.now_s += 0.1

    def report(self, name, waiting=0, used=0):
        """Record a load report of an engine."""
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

    def chosen_names(self, demand):
        """Return the names of all servers chosen in repeated placements."""
        return {
            self.placement.choose(demand, self.now_s).name
            for _ in range(PLACEMENTS)
        }


@given(
    'zones near-1 and near-2 in one region and far-1 in another',
    target_fixture='simulated_host',
)
def _simulated_host():
    return SimulatedHost()


@given('a host in near-1')
def _host(simulated_host):
    assert simulated_host.placement.availability_zone == 'near-1'


@given(parsers.parse('servers {names} in {zone}'))
@when(parsers.parse('servers {names} appear in {zone}'))
def _add_servers(simulated_host, names, zone):
    simulated_host.add(names, zone)


@when(parsers.parse('a1 and a2 each report {waiting:d} prompts waiting'))
def _both_report_waiting(simulated_host, waiting):
    simulated_host.report('a1', waiting)
    simulated_host.report('a2', waiting)


@when(parsers.parse('{name} reports {waiting:d} prompts waiting'))
def _reports_waiting(simulated_host, name, waiting):
    simulated_host.report(name, waiting)


@when(parsers.parse('{name} reports {used:d} tokens used'))
def _reports_used(simulated_host, name, used):
    simulated_host.report(name, used=used)


@when(parsers.parse('{count:d} streams are placed at once'))
def _place_at_once(simulated_host, count):
    for _ in range(count):
        server = simulated_host.placement.choose(STREAM, simulated_host.now_s)
        simulated_host.loads.started(
            server.name, STREAM.tokens, simulated_host.now_s
        )


@when(parsers.re('(?P<name>[a-z][0-9]) is lost'))
def _server_lost(simulated_host, name):
    simulated_host.now_s += 0.01
    simulated_host.health.lost(
        simulated_host.directory.servers[name], simulated_host.now_s
    )


@when('every server is lost')
def _all_lost(simulated_host):
    for server in tuple(simulated_host.directory.servers.values()):
        simulated_host.health.unreachable(server, simulated_host.now_s)


@then(parsers.parse('a stream goes to one of {names}'))
def _stream_goes_to(simulated_host, names):
    assert simulated_host.chosen_names(STREAM) <= set(names.split())


@then(parsers.parse('a call goes to one of {names}'))
def _call_goes_to(simulated_host, names):
    assert simulated_host.chosen_names(CALL) <= set(names.split())


@then(parsers.parse('no server has more than {limit:d} of them'))
def _spread(simulated_host, limit):
    names = simulated_host.directory.servers
    assert max(simulated_host.loads.requests(name) for name in names) <= limit


@then(parsers.parse('the backup of a stream on a1 is placed on one of {names}'))
def _backup_goes_to(simulated_host, names):
    server = simulated_host.directory.servers['a1']
    chosen = {
        simulated_host.placement.backups(server, STREAM, simulated_host.now_s)[
            0
        ].name
        for _ in range(PLACEMENTS)
    }
    assert chosen <= set(names.split())


@then(parsers.parse('{name} is not chosen'))
def _not_chosen(simulated_host, name):
    assert name not in simulated_host.chosen_names(STREAM)
    assert name not in simulated_host.chosen_names(CALL)


@then(parsers.parse('none of {names} is suspect'))
def _not_suspect(simulated_host, names):
    for name in names.split():
        server = simulated_host.directory.servers[name]
        assert not simulated_host.health.suspect(server, simulated_host.now_s)


@given(
    parsers.parse('{far:d} more servers in far-1 and {near:d} more in near-1'),
)
def _add_many(simulated_host, far, near):
    simulated_host.add(' '.join(f'f{number}' for number in range(far)), 'far-1')
    simulated_host.add(
        ' '.join(f'n{number}' for number in range(near)), 'near-1'
    )


@then(parsers.parse('a ranking has {count:d} servers without duplicates'))
def _ranking(simulated_host, count):
    ranked = simulated_host.placement.ranked(STREAM, simulated_host.now_s)
    assert len(ranked) == count
    assert len({server.name for server in ranked}) == count


@then('a stream goes to servers of near-1')
def _stays_near(simulated_host):
    for name in simulated_host.chosen_names(STREAM):
        server = simulated_host.directory.servers[name]
        assert server.availability_zone == 'near-1'


@given('a1 has a stream in progress and a2 has had one')
def _in_progress(simulated_host):
    for name in ('a1', 'a2'):
        server = simulated_host.directory.servers[name]
        simulated_host.loads.started(name, STREAM.tokens, simulated_host.now_s)
        simulated_host.health.started(server)
    _end_stream(simulated_host, 'a2')


@when('a1 and a2 are removed and stale records are evicted')
def _remove_servers(simulated_host):
    for name in ('a1', 'a2'):
        simulated_host.directory.drop(name)
    simulated_host.health.sweep()


@when('the stream on a1 ends and stale records are evicted')
def _stream_ended(simulated_host):
    _end_stream(simulated_host, 'a1')
    simulated_host.health.sweep()


def _end_stream(simulated_host, name):
    simulated_host.loads.ended(name, STREAM.tokens)
    simulated_host.health.ended(make_server(name))


@then('a1 has a record and a2 has none')
def _only_a1_recorded(simulated_host):
    assert set(simulated_host.loads.loads) & {'a1', 'a2'} == {'a1'}
    assert set(simulated_host.health.outliers.records) & {'a1', 'a2'} == {'a1'}


@then('a1 has no record')
def _a1_evicted(simulated_host):
    assert 'a1' not in simulated_host.loads.loads
    assert 'a1' not in simulated_host.health.outliers.records


@given(parsers.parse('software version {version} at {names} in {zone}'))
def _add_version(simulated_host, version, names, zone):
    for name in names.split():
        server = make_server(name, zone, software_version=version)
        simulated_host.directory.update(server, simulated_host.now_s)


@then(
    parsers.parse(
        'a stream of software version {version} goes to one of {names}'
    )
)
def _version_goes_to(simulated_host, version, names):
    demand = replace(STREAM, software_version=version)
    assert simulated_host.chosen_names(demand) == set(names.split())


@then(parsers.parse('a stream of software version {version} is not placed'))
def _version_not_placed(simulated_host, version):
    demand = replace(STREAM, software_version=version)
    now_s = simulated_host.now_s
    assert simulated_host.placement.choose(demand, now_s) is None


@then(
    parsers.parse(
        'the backup of a stream of software version {version} on a1 is placed '
        'on one of {names}'
    )
)
def _version_backup(simulated_host, version, names):
    server = simulated_host.directory.servers['a1']
    demand = replace(STREAM, software_version=version)
    backups = simulated_host.placement.backups(
        server, demand, simulated_host.now_s
    )
    assert {backup.name for backup in backups} == set(names.split())
