"""Replays through the entry host's decisions."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.admissions.choices import Chooser, Plan
from celerywharf.admissions.ownership import owner_of
from celerywharf.admissions.prefixes import CacheEvent, PrefixIndex
from celerywharf.admissions.searches import Ask, Rejected, Search
from celerywharf.admissions.tickets import Refusal
from celerywharf.backends.outliers import Outliers
from celerywharf.membership import Peer
from celerywharf.structures import Address, HostIdentity
from celerywharf.tables import BackendServer
from celerywharf.wire.admissions import Summary

scenarios('choices.feature')

DEADLINE_S = 5
UNTRIED_WAIT = 'inf'


def backend(name, region='r1'):
    return BackendServer(name, f'http://{name}', region, 'z1', 's')


def backends(names, region='r1'):
    words = names.replace('-', '').split()
    return tuple(backend(name, region) for name in words)


class Asker:
    """Feeds a search with answers and writes down what it asked."""

    def __init__(self, near, far):
        plan = Plan(backends(near), backends(far, 'r2'))
        self.search = Search(plan, DEADLINE_S)
        self.way = []
        self.now = 0
        self.action = self.note(self.search.begin(0))

    def note(self, action):
        if isinstance(action, Ask):
            self.now += action.delay_s
            mark = '?' if action.may_wait else ''
            self.way.append(action.backend_server.name + mark)
        return action

    def answer(self, text):
        name, reason, wait, *_ = [*text.split(':'), UNTRIED_WAIT]
        assert self.action.backend_server.name == name
        if reason == 'grant':
            return 'granted'
        rejected = Rejected(name, Refusal(reason), float(wait))
        self.action = self.note(self.search.rejected(rejected, self.now))
        return '...' if isinstance(self.action, Ask) else self.action.reason


@given(
    parsers.parse('near backend servers {near} and far ones {far}'),
    target_fixture='asker',
)
def _asker(near, far):
    return Asker(near, far)


@when(
    parsers.re('the owners answer (?P<answers>.*[^s])$'),
    target_fixture='ending',
)
def _answers(asker, answers):
    endings = [asker.answer(text) for text in answers.split()]
    return endings[-1]


@when(parsers.parse('the owners answer {answer} {count:d} times'))
def _repeats(asker, answer, count):
    for _ in range(count):
        if isinstance(asker.action, Ask):
            asker.answer(answer)


@then(parsers.parse('the demand goes {way}'))
def _way(asker, ending, way):
    asked, _, expected = way.partition(', ')
    assert asker.way == asked.split()
    assert ending == expected


@then(
    parsers.parse('the demand ends as {reason} after {count:d} questions'),
)
def _ends(asker, reason, count):
    assert asker.action.reason == reason
    assert len(asker.way) == count
    assert asker.now < DEADLINE_S


def hear(chooser, name, load, now=0):
    chooser.take(Summary(name, int(load * 100), 0, 100), now)


@given(
    parsers.parse('a chooser that heard of load {loads}'),
    target_fixture='chooser',
)
def _chooser(loads):
    identity = HostIdentity('h', 'r1', 'z1', Address('127.0.0.1', 1), 1)
    chooser = Chooser(identity, Random(1))
    for text in loads.replace(' and', ',').split(', '):
        load, name = text.split(' for ')
        hear(chooser, name, float(load))
    return chooser


@then(parsers.parse('{age:g} s later it takes the load for {seen:g}'))
def _seen(chooser, age, seen):
    assert chooser.load('a', age) == pytest.approx(seen)


def first_asked(chooser):
    chooser.placed['p'] = 'a'
    plans = [
        chooser.plan(backends('a b c'), 'p', frozenset(), 0) for _ in range(30)
    ]
    return {plan.near[0].name for plan in plans}


@then('of a, b and c it asks a first for the prefix that a holds')
def _liked(chooser):
    assert first_asked(chooser) == {'a'}


@when(parsers.parse('it hears of load {load:g} for a'))
def _hears(chooser, load):
    hear(chooser, 'a', load)


@then('of a, b and c it does not ask a first for that prefix')
def _disliked(chooser):
    assert first_asked(chooser) == {'b', 'c'}


def learn(index, incarnation, events):
    index.learn(
        incarnation,
        [
            CacheEvent(int(text[:-2]), text[-2] == '+', text[-1])
            for text in events.split()
        ],
    )


@given(
    parsers.parse('cache events of incarnation 1: {events}'),
    target_fixture='index',
)
def _index(events):
    index = PrefixIndex()
    learn(index, 1, events)
    return index


@when(parsers.parse('300 events are lost before {events}'))
def _lost(index, events):
    learn(index, 1, events)


@when(parsers.parse('incarnation 2 begins with {events}'))
def _restarted(index, events):
    learn(index, 2, events)


@then(parsers.parse('{held} are held, {other} is not'))
def _held(index, held, other):
    assert all(index.holds(prefix) for prefix in held.split(' and '))
    assert not index.holds(other)


@given('backend servers a to d, each used before', target_fixture='outliers')
def _outliers():
    outliers = Outliers()
    for name in 'abcd':
        for _ in range(5):
            outliers.answered(name, 0.2, 0)
    return outliers


@when('a fails 3 times in a row')
def _fails(outliers):
    assert [outliers.failed('a', 0) for _ in range(3)] == [False, False, True]


@when('a answers 5 times slower')
def _slow(outliers):
    assert any(outliers.answered('a', 1, 0) for _ in range(20))


@then('a is not usable for 2 s, then for one request at a time')
def _ejected(outliers):
    assert not outliers.usable('a', 1.9)
    assert outliers.usable('a', 2)
    outliers.started('a')
    assert not outliers.usable('a', 2)


@then('after 4 good requests it is like the others')
def _readmitted(outliers):
    for _ in range(4):
        outliers.succeeded('a')
    for _ in range(100):
        outliers.started('a')
    assert outliers.usable('a', 3)


@then('no more than half of them are ever ejected')
def _half(outliers):
    for _ in range(3):
        for name in 'abcd':
            outliers.failed(name, 10)
    usable = [name for name in 'abcd' if outliers.usable(name, 10)]
    assert len(usable) == 2


def peer(number, *, leaving=False):
    address = Address('127.0.0.1', number + 1)
    return Peer(f'h{number}', 'r1', 'z1', address, None, 1, leaving)


def owners(peers):
    return {name: owner_of(f'e{name}', peers).name for name in range(500)}


@given('500 backend servers and hosts h0 to h9', target_fixture='peers')
def _peers():
    return [peer(number) for number in range(10)]


@then('without h3 only the backend servers of h3 have another owner')
def _moved(peers):
    before = owners(peers)
    after = owners([one for one in peers if one.name != 'h3'])
    moved = {name for name, owner in before.items() if owner != after[name]}
    assert moved == {name for name, owner in before.items() if owner == 'h3'}
    assert moved


@then('while h4 leaves it owns none')
def _leaves(peers):
    peers[4] = peer(4, leaving=True)
    assert 'h4' not in owners(peers).values()
    assert owner_of('e1', [peers[4]]).name == 'h4'
