"""Tests of how an entry host selects a backend server and its owner."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.admissions.ownership import owner_of
from celerywharf.admissions.prefixes import CacheEvent, PrefixIndex
from celerywharf.admissions.searches import Rejected, RequestGrant, Search
from celerywharf.admissions.selection import BackendSelector, Candidates
from celerywharf.admissions.tickets import Refusal
from celerywharf.backends.outliers import Outliers
from celerywharf.membership import Peer
from celerywharf.structures import Address, HostIdentity
from celerywharf.tables import BackendServer
from celerywharf.wire.admissions import Summary

scenarios('choices.feature')

DEADLINE_S = 5
UNKNOWN_WAIT = 'inf'


def backend(name, region='r1'):
    return BackendServer(name, f'http://{name}', region, 'z1', 's')


def backends(names, region='r1'):
    words = names.replace('-', '').split()
    return tuple(backend(name, region) for name in words)


class SearchDriver:
    """Feeds answers to a search and records the requests it sends."""

    def __init__(self, same, other):
        candidates = Candidates(backends(same), backends(other, 'r2'))
        self.search = Search(candidates, DEADLINE_S)
        self.requests = []
        self.now = 0
        self.action = self.record(self.search.start(0))

    def record(self, action):
        if isinstance(action, RequestGrant):
            self.now += action.delay_s
            mark = '?' if action.may_wait else ''
            self.requests.append(action.backend_server.name + mark)
        return action

    def answer(self, text):
        name, reason, wait, *_ = [*text.split(':'), UNKNOWN_WAIT]
        assert self.action.backend_server.name == name
        if reason == 'grant':
            return 'granted'
        rejected = Rejected(name, Refusal(reason), float(wait))
        self.action = self.record(self.search.rejected(rejected, self.now))
        return (
            '...'
            if isinstance(self.action, RequestGrant)
            else self.action.reason
        )


@given(
    parsers.parse(
        'backend servers {same} in the region and {other} in other regions',
    ),
    target_fixture='driver',
)
def _driver(same, other):
    return SearchDriver(same, other)


@when(
    parsers.re('the owners answer (?P<answers>.*[^s])$'),
    target_fixture='ending',
)
def _answers(driver, answers):
    endings = [driver.answer(text) for text in answers.split()]
    return endings[-1]


@when(parsers.parse('the owners answer {answer} {count:d} times'))
def _repeats(driver, answer, count):
    for _ in range(count):
        if isinstance(driver.action, RequestGrant):
            driver.answer(answer)


@then(parsers.parse('the requests are {requests}'))
def _requests(driver, ending, requests):
    sent, _, expected = requests.partition(', ')
    assert driver.requests == sent.split()
    assert ending == expected


@then(
    parsers.parse('the search ends as {reason} after {count:d} requests'),
)
def _ends(driver, reason, count):
    assert driver.action.reason == reason
    assert len(driver.requests) == count
    assert driver.now < DEADLINE_S


def receive(selector, name, load, now=0):
    selector.update_load(Summary(name, int(load * 100), 0, 100), now)


@given(
    parsers.parse('a selector that received load {loads}'),
    target_fixture='selector',
)
def _selector(loads):
    identity = HostIdentity('h', 'r1', 'z1', Address('127.0.0.1', 1), 1)
    selector = BackendSelector(identity, Random(1))
    for text in loads.replace(' and', ',').split(', '):
        load, name = text.split(' for ')
        receive(selector, name, float(load))
    return selector


@then(parsers.parse('{age:g} s later it estimates a load of {estimate:g}'))
def _estimated(selector, age, estimate):
    assert selector.load('a', age) == pytest.approx(estimate)


def ranked_first(selector):
    selector.last_placement['p'] = 'a'
    rankings = [
        selector.rank(backends('a b c'), 'p', frozenset(), 0) for _ in range(30)
    ]
    return {ranking.same_region[0].name for ranking in rankings}


@then('of a, b and c it ranks a first for the prefix that a holds')
def _preferred(selector):
    assert ranked_first(selector) == {'a'}


@when(parsers.parse('it receives load {load:g} for a'))
def _receives(selector, load):
    receive(selector, 'a', load)


@then('of a, b and c it does not rank a first for that prefix')
def _not_preferred(selector):
    assert ranked_first(selector) == {'b', 'c'}


def apply_events(index, incarnation, events):
    index.apply_events(
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
    apply_events(index, 1, events)
    return index


@when(parsers.parse('300 events are lost before {events}'))
def _lost(index, events):
    apply_events(index, 1, events)


@when(parsers.parse('incarnation 2 begins with {events}'))
def _restarted(index, events):
    apply_events(index, 2, events)


@then(parsers.parse('the index holds {held}, not {other}'))
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


@then('after 4 successful requests it is used without a limit')
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
    after = owners([other for other in peers if other.name != 'h3'])
    moved = {name for name, owner in before.items() if owner != after[name]}
    assert moved == {name for name, owner in before.items() if owner == 'h3'}
    assert moved


@then('while h4 is leaving it owns none')
def _leaves(peers):
    peers[4] = peer(4, leaving=True)
    assert 'h4' not in owners(peers).values()
    assert owner_of('e1', [peers[4]]).name == 'h4'
