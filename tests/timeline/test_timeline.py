"""Order, batches, gaps and the HTML page of the timeline."""

import collections
import re

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.timeline import HybridClock, Recorder
from celerywharf.timeline.gaps import find_gaps
from celerywharf.timeline.pages import render_page
from celerywharf.timeline.records import pack, unpack
from celerywharf.timeline.shipping import sample

scenarios('timeline.feature')


@pytest.fixture
def wall_times():
    return {}


@pytest.fixture
def recorders(wall_times):
    return {
        'a': Recorder('a', HybridClock(lambda: wall_times.get('a', 1)), 1),
        'b': Recorder('b', HybridClock(lambda: wall_times.get('b', 1)), 1),
    }


def _all_events(recorders):
    events = [
        event for recorder in recorders.values() for event in recorder.events
    ]
    return sorted(events, key=lambda event: event.stamp)


@given(
    parsers.parse(
        'the clock of host a at {first:g} s and of host b at {second:g} s'
    )
)
def _clocks(wall_times, first, second):
    wall_times.update(a=first, b=second)


@when(
    parsers.parse(
        'a records "{cause}" and b records "{effect}" after a message from a'
    )
)
def _record_cause_and_effect(recorders, cause, effect):
    recorders['a'].record(cause)
    recorders['b'].clock.merge(recorders['a'].clock.tick())
    recorders['b'].record(effect)


@then(parsers.parse('the order is "{names}"'))
def _order(recorders, names):
    assert ', '.join(event.name for event in _all_events(recorders)) == names


@given(parsers.parse('host a recorded {count:d} events'))
def _recorded_events(recorders, count):
    for index in range(count):
        recorders['a'].record('delivered', generation='g', offset=index)


@when('they are packed and unpacked', target_fixture='unpacked')
def _pack_and_unpack(recorders):
    return list(unpack(pack(recorders['a'].events)))


@then('they equal the recorded events')
def _equal(recorders, unpacked):
    assert unpacked == list(recorders['a'].events)


@given('hosts a and b each recorded 3 routine events of 400 generations')
def _routine_events(recorders):
    for name in 'ab':
        for index in range(400):
            for _ in range(3):
                recorders[name].record('delivered', generation=f'g-{index}')


@given('host a recorded 7 failures')
def _failures(recorders):
    for _ in range(7):
        recorders['a'].record('attempt_failed', generation='g-1')


@when('both sample at most 300 events', target_fixture='samples')
def _sample(recorders):
    return {name: sample(list(recorders[name].events), 300) for name in 'ab'}


@then('7 failures remain')
def _failures_remain(samples):
    names = [event.name for event in samples['a']]
    assert names.count('attempt_failed') == 7


@then(
    'a generation is kept whole or dropped, and a keeps only those that b keeps'
)
def _kept_or_dropped(samples):
    kept = {
        name: collections.Counter(
            event.generation for event in events if event.name == 'delivered'
        )
        for name, events in samples.items()
    }
    assert set(kept['a'].values()) == set(kept['b'].values()) == {3}
    assert set(kept['a']) <= set(kept['b'])


@then(parsers.parse('between {low:d} and {high:d} generations remain'))
def _generations_remain(samples, low, high):
    assert low <= len({event.generation for event in samples['b']}) <= high


@given('host a was restarted and recorded 2 events')
def _restarted(recorders):
    restarted = Recorder('a', HybridClock(lambda: 2), 2)
    for _ in range(2):
        restarted.record('request_accepted', request='r')
    recorders['a again'] = restarted


@given('a generation that failed on a and resumed on b after 420 ms')
def _resumed(recorders, wall_times):
    wall_times.update(a=10.0, b=10.42)
    recorders['a'].record('attempt_failed', generation='g')
    recorders['b'].record('resumed', generation='g')


@when(
    parsers.parse('the timeline is drawn while host {name} does not answer'),
    target_fixture='drawn',
)
def _drawn(recorders, name):
    events = _all_events(recorders)
    gaps = find_gaps(events, [name])
    return render_page('Time line', events, gaps), gaps


@then(parsers.parse('the gaps are "{expected}"'))
def _gaps(drawn, expected):
    assert (
        ', '.join(f'{gap.host}: {gap.reason}' for gap in drawn[1]) == expected
    )


@then(parsers.parse('the page has a band "{label}"'))
def _band(drawn, label):
    assert f'<title>{label}</title></rect>' in drawn[0]


@then('the page loads nothing from outside')
def _self_contained(drawn):
    assert not re.search(r'https?://|src=|<link|@import', drawn[0])
