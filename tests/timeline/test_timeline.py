"""Order, shipping, gaps and the picture of the time line."""

import collections
import re

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.timeline import HybridClock, Recorder
from celerywharf.timeline.gaps import find_gaps
from celerywharf.timeline.pages import page
from celerywharf.timeline.records import pack, unpack
from celerywharf.timeline.shipping import sample

scenarios('timeline.feature')


@pytest.fixture
def walls():
    return {}


@pytest.fixture
def recorders(walls):
    return {
        'a': Recorder('a', HybridClock(lambda: walls.get('a', 1)), 1),
        'b': Recorder('b', HybridClock(lambda: walls.get('b', 1)), 1),
    }


def _all(recorders):
    events = [event for one in recorders.values() for event in one.events]
    return sorted(events, key=lambda event: event.stamp)


@given(parsers.parse('host a at {first:g} s and host b at {second:g} s'))
def _clocks(walls, first, second):
    walls.update(a=first, b=second)


@when(
    parsers.parse('a records "{cause}" and b, told of it, records "{effect}"')
)
def _cause(recorders, cause, effect):
    recorders['a'].record(cause)
    recorders['b'].clock.merge(recorders['a'].clock.tick())
    recorders['b'].record(effect)


@then(parsers.parse('the order is "{names}"'))
def _order(recorders, names):
    assert ', '.join(event.name for event in _all(recorders)) == names


@given(parsers.parse('host a recorded {count:d} events'))
def _some(recorders, count):
    for index in range(count):
        recorders['a'].record('delivered', generation='g', offset=index)


@when('they are shipped and read back', target_fixture='read_back')
def _ship(recorders):
    return list(unpack(pack(recorders['a'].events)))


@then('they equal what was recorded')
def _equal(recorders, read_back):
    assert read_back == list(recorders['a'].events)


@given('hosts a and b each recorded 3 routine events of 400 generations')
def _routine(recorders):
    for name in 'ab':
        for index in range(400):
            for _ in range(3):
                recorders[name].record('delivered', generation=f'g-{index}')


@given('host a recorded 7 failures')
def _failures(recorders):
    for _ in range(7):
        recorders['a'].record('attempt_failed', generation='g-1')


@when('both ship at most 300 events', target_fixture='shipped')
def _sampled(recorders):
    return {name: sample(list(recorders[name].events), 300) for name in 'ab'}


@then('7 failures remain')
def _failures_remain(shipped):
    names = [event.name for event in shipped['a']]
    assert names.count('attempt_failed') == 7


@then('each generation is kept whole or not at all on both hosts')
def _whole(shipped):
    kept = {
        name: collections.Counter(
            event.generation for event in events if event.name == 'delivered'
        )
        for name, events in shipped.items()
    }
    assert set(kept['a'].values()) == set(kept['b'].values()) == {3}
    assert set(kept['a']) <= set(kept['b'])


@then(parsers.parse('between {low:d} and {high:d} generations remain'))
def _remain(shipped, low, high):
    assert low <= len({event.generation for event in shipped['b']}) <= high


@given('host a was restarted and recorded 2 events')
def _restarted(recorders):
    again = Recorder('a', HybridClock(lambda: 2), 2)
    for _ in range(2):
        again.record('request_accepted', request='r')
    recorders['a again'] = again


@given('a generation that failed on a and resumed on b after 420 ms')
def _resumed(recorders, walls):
    walls.update(a=10.0, b=10.42)
    recorders['a'].record('attempt_failed', generation='g')
    recorders['b'].record('resumed', generation='g')


@when(
    parsers.parse('the time line is drawn while host {name} does not answer'),
    target_fixture='drawn',
)
def _drawn(recorders, name):
    events = _all(recorders)
    gaps = find_gaps(events, [name])
    return page('Time line', events, gaps), gaps


@then(parsers.parse('the gaps are "{expected}"'))
def _gaps(drawn, expected):
    assert (
        ', '.join(f'{gap.host}: {gap.reason}' for gap in drawn[1]) == expected
    )


@then(parsers.parse('the page has a band "{label}"'))
def _band(drawn, label):
    assert f'<title>{label}</title></rect>' in drawn[0]


@then('the page refers to nothing outside itself')
def _self_contained(drawn):
    assert not re.search(r'https?://|src=|<link|@import', drawn[0])
