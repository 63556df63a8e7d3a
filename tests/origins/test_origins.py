"""Where streams began, as one host knows it."""

import asyncio

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.backends import Directory
from celerywharf.origins import (
    OriginKnowledge,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
)
from tests.backends.test_directory import SERVICE, make_server

scenarios('origins.feature')

WAITS_S = 30


class OtherHost(OriginSource):
    """Another host that knows some streams.

    Attributes:
        versions: those that may have begun the streams that nobody knows.
    """

    def __init__(self):
        self.origins = {}
        self.asked = 0
        self.versions = frozenset()

    async def ask(self, request_id, service):
        """Return what the host knows."""
        self.asked += 1
        return OriginKnowledge(self.origins.get(request_id), self.versions)


class Host:
    """A host with a clock."""

    def __init__(self, *versions):
        self.now_s = 100.0
        self.directory = Directory()
        self.origins = StreamOrigins(
            self.directory.software_versions, lambda: self.now_s
        )
        self.other = OtherHost()
        self.origins.source = self.other
        for version in versions:
            server = make_server(f'e-{version}', software_version=version)
            self.directory.update(server, self.now_s)

    def begin(self, request_id, version):
        """Record the first event of a stream."""
        server = self.directory.servers[f'e-{version}']
        self.origins.began(request_id, server, self.now_s + WAITS_S)

    def possible(self, request_id):
        """Return at which versions a stream may have begun."""
        knowledge = asyncio.run(self.origins.look_up(request_id, SERVICE))
        return knowledge.possible()


@given('a host that knows engines of versions v1 and v2', target_fixture='host')
def _host():
    return Host('v1', 'v2')


@given(
    'a host that has just started and knows engines of version v1',
    target_fixture='host',
)
def _new_host():
    return Host('v1')


@when(parsers.re(r'stream (?P<name>\w+) begins at (?P<version>\w+)'))
def _begins(host, name, version):
    host.begin(name, version)


@when(parsers.parse('{count:d} streams begin'))
def _many_begin(host, count):
    for number in range(count):
        host.begin(f'n{number}', 'v1')


@when(parsers.parse('another host knows that {name} began at {version}'))
def _known_elsewhere(host, name, version):
    host.other.origins[name] = StreamOrigin(name, SERVICE, version, 1000)


@when(parsers.re('the rows name (?P<versions>.*)'))
def _recorded(host, versions):
    host.other.versions = frozenset(versions.split())


@when(parsers.parse('the host learns that {name} began at {version}'))
def _learns(host, name, version):
    origin = StreamOrigin(name, SERVICE, version, 1000)
    host.origins.register.learn(origin, host.now_s)


@when('no other host answers')
def _alone(host):
    host.origins.source = None


@when(parsers.parse('the engines of v2 have been gone for {span:g} s'))
def _gone(host, span):
    host.directory.removed('e-v2', host.now_s)
    host.directory.software_versions.recent(SERVICE, host.now_s)
    host.now_s += span


@when(parsers.parse('{span:g} s pass'))
def _pass(host, span):
    host.now_s += span


@then('a stream of an unnamed request may have begun at v1 v2')
def _unnamed(host):
    assert host.possible('') == {'v1', 'v2'}


@then(parsers.re(r'nobody can tell where (?P<name>r\d) began'))
def _unknown(host, name):
    assert host.possible(name) == frozenset()


@then(parsers.re(r'(?P<name>r\d) may have begun at (?P<versions>.*)'))
def _possible(host, name, versions):
    assert host.possible(name) == frozenset(versions.split())


@then(parsers.parse('the other host was asked {count:d} times'))
def _asked(host, count):
    assert host.other.asked == count


@then(parsers.parse('{count:d} streams are known'))
def _known(host, count):
    assert len(host.origins.register.origins) == count
