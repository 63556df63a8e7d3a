"""Tests of the stand-ins as separate processes."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.calls import call
from standins.checking import Received, ReceivedToken, check_all
from standins.tokens import hash_prefix

scenarios('standins.feature')

CLAIM = {
    'conditions': [{'key': 'claim', 'version': 0}],
    'puts': [{'key': 'claim', 'value': {'by': 'first'}}],
}
REATTACH = {
    'generation': 'g',
    'epoch': 1,
    'attempt': 1,
    'offset': 2,
    'new_epoch': 2,
    'new_attempt': 1,
}
BOOKING = {'item': 'yard'}


class Caller:
    """Sends attempts of generation g and keeps the tokens it receives."""

    def __init__(self):
        self.texts = []
        self.received = Received('g')

    def generate(self, address, attempt, max_tokens, limit=None, **more):
        body = {'generation': 'g', 'epoch': 1, 'attempt': attempt}
        body |= {'prompt': 'p', 'max_tokens': max_tokens, **more}
        return self.stream(address, '/v1/generate', body, limit)

    def stream(self, address, path, body, limit=None):
        events = read_events(address, path, body, limit)
        tokens = [event for event in events if 't' in event]
        self.texts.append([event['t'] for event in tokens])
        self.received.tokens += [
            ReceivedToken(event['e'], event['o'], event['t'])
            for event in tokens
        ]
        for event in events[len(tokens) :]:
            self.received.total = event['o']

    def find_faults(self, fleet):
        return check_all(
            [self.received],
            [fleet.record(name) for name in fleet.members],
        )


def read_events(address, path, body, limit):
    connection = HTTPConnection(address, timeout=5)
    connection.request('POST', path, json.dumps(body))
    events = []
    try:
        for line in connection.getresponse():
            if line.endswith(b'}\n'):
                events.append(json.loads(line.removeprefix(b'data: ')))
            if len(events) == limit:
                break
    except (OSError, HTTPException):
        return events
    finally:
        connection.close()
    return events


def try_call(*arguments):
    try:
        return call(*arguments)
    except OSError:
        return None, None


@pytest.fixture
def caller():
    return Caller()


@given(parsers.parse('an engine "{name}"'), target_fixture='standin')
def start_engine(fleet, name):
    return fleet.start_engine(name, token_interval_ms=4)


@given('an engine "one" with room for 1 context', target_fixture='standin')
def start_small_engine(fleet):
    return fleet.start_engine('one', token_interval_ms=4, cache_entries=1)


@given(
    'an engine "one" with a grace period of 0.05 s', target_fixture='standin'
)
def start_engine_with_short_grace(fleet):
    return fleet.start_engine('one', token_interval_ms=4, detach_grace_s=0.05)


@given('a platform', target_fixture='standin')
def start_platform(fleet):
    return fleet.start_platform()


@given('a plain service', target_fixture='standin')
def start_service(fleet):
    return fleet.start_application('app')


@given('a plain service behind a link', target_fixture='standin')
def start_linked_service(fleet):
    service = fleet.start_application('app')
    return fleet.start_link('link', service.address)


@given(parsers.parse('its switch {switch} is {setting}'))
def switch(fleet, standin, switch, setting):
    fleet.control(standin.name, **{switch: json.loads(setting)})


@when(
    parsers.parse(
        'attempt {attempt:d} of generation "g" runs for {total:d} tokens'
    ),
)
def run_attempt(standin, caller, attempt, total):
    caller.generate(standin.address, attempt, total)


@when(
    parsers.parse(
        'attempt 2 resumes from the received text, up to {total:d} tokens'
    ),
)
def resume(standin, caller, total):
    caller.generate(standin.address, 2, total, prefix=sum(caller.texts, []))


@when(
    parsers.parse('attempt 2 resumes on a new engine "two", up to 6 tokens'),
)
def resume_on_another(fleet, caller):
    resume(start_engine(fleet, 'two'), caller, 6)


@when('engine "one" is killed and started again')
def restart(fleet):
    fleet.kill('one')
    (run,) = fleet.record('one')['runs']
    assert run['decode_tokens'] == 2
    start_engine(fleet, 'one')


@then('the two texts differ at every offset')
def texts_differ(caller):
    first, second = caller.texts
    assert len(first) == len(second) == 6
    assert all(left != right for left, right in zip(first, second, strict=True))


@then(parsers.parse('the record of "{name}" has both texts'))
def check_record(fleet, caller, name):
    runs = fleet.record(name)['runs']
    assert [run['tokens'] for run in runs] == caller.texts
    assert [run['decode_tokens'] for run in runs] == [6, 6]


@then("the caller's text is complete and without faults")
def check_text(fleet, caller):
    findings = caller.find_faults(fleet)
    assert findings.is_clean
    assert not findings.unfinished
    assert len(caller.received.tokens) == 6


@then(parsers.parse('{count:d} tokens and no end event arrive'))
def check_token_count(caller, count):
    assert len(caller.texts[0]) == count
    assert caller.received.total is None


@then(parsers.parse('calls to "{name}" are reset until it is revived'))
def reset_until_revived(fleet, standin, name):
    with pytest.raises(ConnectionError):
        call(standin.address, 'GET', '/v1/load')
    fleet.control(name, dead=False)
    status, load = call(standin.address, 'GET', '/v1/load')
    assert (status, load['running'], load['attempts']) == (200, 0, [])


@when(
    parsers.parse(
        'a caller reads 2 tokens of a run of {total:d} and disconnects'
    )
)
def disconnect_early(standin, caller, total):
    caller.generate(standin.address, 1, total, limit=2)
    assert len(caller.texts[0]) == 2


@then('reattaching at epoch 2 streams the rest of the same run')
def reattach(fleet, standin, caller):
    caller.stream(standin.address, '/v1/reattach', REATTACH)
    assert caller.find_faults(fleet).is_clean
    assert caller.received.total == 40
    assert len(fleet.record('one')['runs']) == 1


@then('epoch 1 is refused as stale')
def stale_epoch(standin):
    body = {'generation': 'g', 'epoch': 1, 'attempt': 2, 'max_tokens': 1}
    answer = call(standin.address, 'POST', '/v1/generate', body)
    assert answer == (409, {'code': 'stale_epoch'})


@then('the run is abandoned and cannot be reattached')
def abandoned(fleet, standin):
    while call(standin.address, 'GET', '/v1/load')[1]['running']:
        time.sleep(0.01)
    (run,) = fleet.record('one')['runs']
    assert run['state'] == 'abandoned'
    assert run['decode_tokens'] < 1000
    answer = call(standin.address, 'POST', '/v1/reattach', REATTACH)
    assert answer == (404, {'code': 'unknown_attempt'})


@then(parsers.re('the received offsets are(?P<offsets>.*)'))
def offsets_are(caller, offsets):
    arrived = [token.offset for token in caller.received.tokens]
    assert arrived == [int(offset) for offset in offsets.split()]


@then(
    parsers.parse('the checker finds {lost:d} lost and {repeated:d} repeated')
)
def checker_finds(fleet, caller, lost, repeated):
    findings = caller.find_faults(fleet)
    assert (findings.lost, findings.repeated) == (lost, repeated)


@when('two streams run while the switch cross is 1')
def cross(fleet, standin, caller):
    fleet.control('one', token_interval_ms=20, cross=1)
    bodies = [
        {'generation': name, 'epoch': 1, 'attempt': 1, 'max_tokens': 30}
        for name in ('g', 'h')
    ]
    with ThreadPoolExecutor() as pool:
        caller.events = pool.map(
            lambda body: read_events(
                standin.address, '/v1/generate', body, None
            ),
            bodies,
        )


@then('each stream has one event of the other')
def check_crossed_events(caller):
    crossed_counts = [
        sum(event['g'] != own for event in events)
        for own, events in zip('gh', caller.events, strict=True)
    ]
    assert crossed_counts == [1, 1]


@when('it receives orders with fencing 7 and then 6', target_fixture='statuses')
@given(
    'it receives orders with fencing 7 and then 6', target_fixture='statuses'
)
def send_orders(standin):
    return [
        call(
            standin.address,
            'POST',
            '/v1/orders',
            {'order': 'load', 'name': f'm{fencing}', 'fencing': fencing},
        )[0]
        for fencing in (7, 6)
    ]


@then(parsers.parse('the second is {verdict}'))
def second_order(fleet, statuses, verdict):
    assert statuses == {'applied': [200, 200], 'refused': [200, 409]}[verdict]
    order = fleet.record('one')['orders'][-1]
    assert order['obeyed'] is (verdict == 'applied')


@when('generations with the prompts "a" and "b" run')
def run_prompts(standin, caller):
    for attempt, prompt in enumerate('ab'):
        caller.generate(standin.address, attempt, 2, prompt=prompt)


@then('its cache events are stored "a", stored "b", evicted "a"')
def cache_events(standin):
    first, second = hash_prefix('a'), hash_prefix('b')
    body = call(standin.address, 'GET', '/v1/cache-events?after=0')[1]
    cache_changes = [
        (event['kind'], event['prefix']) for event in body['events']
    ]
    assert cache_changes == [
        ('stored', first),
        ('stored', second),
        ('evicted', first),
    ]
    assert body['next'] == 3


@when(
    'two writers insert the row "claim" at version 0', target_fixture='commits'
)
def insert_twice(standin):
    return [call(standin.address, 'POST', '/table/commit', CLAIM) for _ in '12']


@then('the second gets a conflict with the row of the first')
def conflict(commits):
    (accepted, versions), (refused, body) = commits
    assert (accepted, refused) == (200, 409)
    row = body['rows']['claim']
    assert row['version'] == versions['versions']['claim']
    assert row['value'] == {'by': 'first'}


@when(
    'a writer inserts the row "claim" at version 0',
    target_fixture='status',
)
def insert(standin):
    return try_call(standin.address, 'POST', '/table/commit', CLAIM)[0]


@then('it gets no answer, but the row exists')
def lost_answer(standin, status):
    assert status is None
    row = call(standin.address, 'GET', '/table/row?key=claim')[1]
    assert row['value'] == {'by': 'first'}


@then('it gets 503, and the row does not exist once the platform is up')
def not_applied(fleet, standin, status):
    assert status == 503
    fleet.control('platform', down=False)
    assert call(standin.address, 'GET', '/table/row?key=claim')[0] == 404


@when('a booking is sent', target_fixture='status')
def book(standin):
    return try_call(standin.address, 'POST', '/bookings', BOOKING)[0]


@then(parsers.parse('the answer is {answer} and {count:d} bookings ran'))
def bookings_ran(fleet, status, answer, count):
    assert str(status) == answer
    assert len(fleet.record('app')['runs']) == count


@when(
    parsers.parse("a booking is sent while the link's {switch} is {cut}"),
    target_fixture='booking',
)
def book_over_link(fleet, standin, switch, cut):
    fleet.control('link', **{switch: json.loads(cut)})
    booking = ThreadPoolExecutor().submit(book, standin)
    while not fleet.record('link')['connections']:
        time.sleep(0.01)
    time.sleep(0.2)
    assert not fleet.record('app')['runs']
    return booking


@then(parsers.parse('it ran once, after {switch} was set to {restored}'))
def ran_after_restoring(fleet, booking, switch, restored):
    fleet.control('link', **{switch: json.loads(restored)})
    assert booking.result() == 201
    assert len(fleet.record('app')['runs']) == 1
    assert fleet.record('link')['sent_bytes']['127.0.0.1'] > 0
