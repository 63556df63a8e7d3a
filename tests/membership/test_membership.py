"""Failure detection: seeded simulations of the decision classes."""

from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.membership import messages
from celerywharf.membership.introducers import Introducers
from celerywharf.membership.samples import Samples
from celerywharf.membership.states import Status
from celerywharf.structures import Address
from tests.membership.zones import Zone, state_of

scenarios('membership.feature')

SETTLE_S = 3


@given(
    parsers.parse('a zone of {hosts:d} hosts with seed {seed:d}'),
    target_fixture='zone',
)
def _zone(hosts, seed):
    zone = Zone(hosts, seed)
    zone.run(SETTLE_S)
    zone.changes.clear()
    return zone


@when('h1 is killed')
def _killed(zone):
    zone.down.add('h1')


@when(parsers.parse('h1 is paused for {seconds:g} s with a probe in progress'))
def _paused(zone, seconds):
    target = zone.view('h1', 'h0')
    unanswered = messages.ProbeFailed(target, zone.now, indirect=True)
    zone.paused['h1'] = [unanswered]
    zone.run(seconds)
    zone.resume('h1')


@when(parsers.parse('h2 reports h1 as {status}'))
def _reported(zone, status):
    report = messages.StatesReceived((state_of(1, status=status),))
    zone.decide('h2', report)


@when('the link between h1 and h2 is cut')
def _cut(zone):
    zone.cut.add(frozenset(('h1', 'h2')))


@when(parsers.parse('{seconds:d} s later h1 starts with incarnation 2'))
def _restarted(zone, seconds):
    zone.run(seconds)
    zone.down.clear()
    zone.hosts['h1'].own = state_of(1, incarnation=2)


@when('h1 starts to leave')
def _leaves(zone):
    zone.decide('h1', messages.Leave())


@then(
    parsers.parse('after {seconds:d} s every other host considers h1 {status}'),
)
def _considered(zone, seconds, status):
    zone.run(seconds)
    assert set(zone.statuses_of('h1')) == {status}


@then('no other host was suspected')
def _no_other_suspected(zone):
    refuted_hosts = {
        name for name, detector in zone.hosts.items() if detector.own.serial
    }
    assert refuted_hosts <= {'h1'}
    dead = {
        changed_host for _, _, changed_host, alive in zone.changes if not alive
    }
    assert dead <= {'h1'}


@then('h1 refuted no suspicion')
def _no_refutation(zone):
    assert zone.hosts['h1'].own.serial == 0


@then(parsers.parse('h1 was considered dead by {observers}'))
def _considered_dead(zone, observers):
    dead = [
        changed_host for _, _, changed_host, alive in zone.changes if not alive
    ]
    assert bool(dead) == (observers == 'some hosts')


@then('a delayed message about incarnation 1 changes nothing')
def _delayed_message(zone):
    message = messages.StatesReceived(
        (state_of(1, serial=9, status=Status.dead),)
    )
    zone.decide('h2', message)
    state = zone.view('h2', 'h1')
    assert (state.incarnation, state.status) == (2, Status.alive)


@then(
    parsers.parse(
        'after {seconds:d} s every other host knows that h1 is leaving'
    )
)
def _leaving(zone, seconds):
    zone.run(seconds)
    members = [detector.members.get('h1') for detector in zone.hosts.values()]
    assert all(member.state.leaving for member in members if member)
    assert set(zone.statuses_of('h1')) == {Status.alive}


@then(
    'a host of 80 sends at most 1.1 times as many messages as a host of 10',
    target_fixture='zone',
)
def _message_cost():
    sent = {}
    for size in (10, 80):
        zone = Zone(size, seed=size)
        zone.run(10)
        sent[size] = zone.sent.total() / size
    assert 0 < sent[80] <= 1.1 * sent[10]
    return zone


@then(parsers.parse('no message contains more than {limit:d} host states'))
def _bounded(zone, limit):
    assert 0 < zone.max_states_sent <= limit


@given('samples of 10 zones with 50 hosts each', target_fixture='samples')
def _samples():
    samples = Samples(Random(1))
    for zone in range(10):
        for number in range(50):
            state = state_of(zone * 50 + number, f'z{zone}')
            samples.apply([state], now=0)
    return samples


@then('3 hosts are known of each zone')
def _sample_sizes(samples):
    assert {len(samples.of(f'z{zone}')) for zone in range(10)} == {3}


@then('a dead host is replaced by another')
def _dead_host_replaced(samples):
    first = samples.of('z0')[0]
    number = int(first.name[1:])
    samples.apply([state_of(number, 'z0', status='dead')], now=1)
    samples.apply([state_of(49, 'z0')], now=1)
    assert samples.find(first.name) is None
    assert samples.find('h49') is not None


def _ports(*numbers):
    return [Address('127.0.0.1', number) for number in numbers]


@given(
    'h1 live at port 1, h2 dead at port 2, and a seed at port 3',
    target_fixture='introducers',
)
def _introducers():
    return Introducers(_ports(3), Random(1))


@when('the platform lists ports 1, 4 and 5')
def _listed(introducers):
    introducers.update_hints(_ports(9))
    introducers.update_hints(_ports(1, 4, 5))


@then('only ports 2, 3, 4 and 5 are candidates')
def _candidates(introducers):
    live, dead = _ports(0, 1), _ports(2)
    assert introducers.candidates(live, dead) == _ports(2, 3, 4, 5)
    assert len(introducers.choose(live, dead)) == 1


@then('an isolated host asks all candidates')
def _isolated_asks_all(introducers):
    asked = introducers.choose(_ports(0), _ports(1, 2))
    assert asked == _ports(1, 2, 3, 4, 5)
