"""Failure detection: model runs of the decision classes, seeded."""

from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.membership import messages
from celerywharf.membership.introductions import Introductions
from celerywharf.membership.samples import Samples
from celerywharf.membership.states import Status
from celerywharf.structures import Address
from tests.membership.zones import Zone, state_of

scenarios('membership.feature')

CALM_S = 3


@given(
    parsers.parse('a zone of {hosts:d} hosts with seed {seed:d}'),
    target_fixture='zone',
)
def _zone(hosts, seed):
    zone = Zone(hosts, seed)
    zone.run(CALM_S)
    zone.changes.clear()
    return zone


@when('h1 is killed')
def _killed(zone):
    zone.down.add('h1')


@when(parsers.parse('h1 is paused for {seconds:g} s with a probe under way'))
def _paused(zone, seconds):
    target = zone.view('h1', 'h0')
    unanswered = messages.Unreached(target, zone.now, indirect=True)
    zone.paused['h1'] = [unanswered]
    zone.run(seconds)
    zone.resume('h1')


@when(parsers.parse('h2 says that h1 is {status}'))
def _accused(zone, status):
    accusation = messages.Learned((state_of(1, status=status),))
    zone.decide('h2', accusation)


@when('the link between h1 and h2 is cut')
def _cut(zone):
    zone.cut.add(frozenset(('h1', 'h2')))


@when(parsers.parse('{seconds:d} s later h1 starts with incarnation 2'))
def _restarted(zone, seconds):
    zone.run(seconds)
    zone.down.clear()
    zone.hosts['h1'].own = state_of(1, incarnation=2)


@when('h1 begins to leave')
def _leaves(zone):
    zone.decide('h1', messages.Leave())


@then(
    parsers.parse('after {seconds:d} s every other host believes h1 {status}'),
)
def _believed(zone, seconds, status):
    zone.run(seconds)
    assert set(zone.believed('h1')) == {status}


@then('nobody else was accused')
def _no_harm(zone):
    refuted = {name for name, one in zone.hosts.items() if one.own.serial}
    assert refuted <= {'h1'}
    dead = {who for _, _, who, alive in zone.changes if not alive}
    assert dead <= {'h1'}


@then('h1 had to refute nothing')
def _unaccused(zone):
    assert zone.hosts['h1'].own.serial == 0


@then(parsers.parse('h1 was believed dead by {believers}'))
def _believers(zone, believers):
    dead = [who for _, _, who, alive in zone.changes if not alive]
    assert bool(dead) == (believers == 'some')


@then('a late word of incarnation 1 changes nothing')
def _ghost(zone):
    late = messages.Learned((state_of(1, serial=9, status=Status.dead),))
    zone.decide('h2', late)
    state = zone.view('h2', 'h1')
    assert (state.incarnation, state.status) == (2, Status.alive)


@then(
    parsers.parse(
        'after {seconds:d} s every other host knows that h1 is leaving'
    )
)
def _leaving(zone, seconds):
    zone.run(seconds)
    members = [one.members.get('h1') for one in zone.hosts.values()]
    assert all(member.state.leaving for member in members if member)
    assert set(zone.believed('h1')) == {Status.alive}


@then(
    'a host of 80 sends at most 1.1 times what a host of 10 sends',
    target_fixture='zone',
)
def _cost():
    sent = {}
    for size in (10, 80):
        zone = Zone(size, seed=size)
        zone.run(10)
        sent[size] = zone.sent.total() / size
    assert 0 < sent[80] <= 1.1 * sent[10]
    return zone


@then(parsers.parse('no message names more than {limit:d} hosts'))
def _bounded(zone, limit):
    assert 0 < zone.largest <= limit


@given('samples of 10 zones with 50 hosts each', target_fixture='samples')
def _samples():
    samples = Samples(Random(1))
    for zone in range(10):
        for number in range(50):
            state = state_of(zone * 50 + number, f'z{zone}')
            samples.learn([state], now=0)
    return samples


@then('3 hosts are known of each zone')
def _few(samples):
    assert {len(samples.of(f'z{zone}')) for zone in range(10)} == {3}


@then('a host found dead makes room for another')
def _room(samples):
    first = samples.of('z0')[0]
    number = int(first.name[1:])
    samples.learn([state_of(number, 'z0', status='dead')], now=1)
    samples.learn([state_of(49, 'z0')], now=1)
    assert samples.find(first.name) is None
    assert samples.find('h49') is not None


def _ports(*numbers):
    return [Address('127.0.0.1', number) for number in numbers]


@given(
    'h1 live at port 1, h2 dead at port 2, and a seed at port 3',
    target_fixture='introductions',
)
def _introductions():
    return Introductions(_ports(3), Random(1))


@when('the list names ports 1, 4 and 5')
def _listed(introductions):
    introductions.hinted(_ports(9))
    introductions.hinted(_ports(1, 4, 5))


@then('the ports 2, 3, 4 and 5 are worth asking, and no other')
def _worth(introductions):
    live, dead = _ports(0, 1), _ports(2)
    assert introductions.candidates(live, dead) == _ports(2, 3, 4, 5)
    assert len(introductions.choose(live, dead)) == 1


@then('a host that is quite alone asks all of them')
def _alone(introductions):
    asked = introductions.choose(_ports(0), _ports(1, 2))
    assert asked == _ports(1, 2, 3, 4, 5)
