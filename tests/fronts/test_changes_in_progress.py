"""Requests in progress while a configuration changes what they depend on."""

import itertools
import threading
import time

import pytest

from standins.fronts import (
    CALL_PATH,
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

FRONTS = ('f1', 'f2')
ENGINES = ('e1', 'e2')
DESKS = ('d1', 'd2')
CALLERS = 5  # of each front and kind of request
EVENTS = 60
TOKENS = f'60,{EVENTS * 7}'
EVENT_MS = 40
WORK_MS = 1500
STARTS_S = 0.6
SILENT_S = 1.0
BREAK_AFTER = 24  # events; they take longer than a version needs to arrive
OK = 200
FEW_ROUTES = 400
MANY_ROUTES = 1280


def _changed_routes(rig, **changes):
    return [{**each, **changes} for each in rig.configuration()['routes']]


def _more_routes(rig, count):
    routes = rig.configuration()['routes']
    more = [
        {**routes[0], 'name': f'more{number}', 'prefix': f'/more{number}/'}
        for number in range(count)
    ]
    return [*routes, *more]


def _change(rig, kind):
    match kind:
        case 'no routes':
            rig.configure(routes=[])
        case 'no services':
            rig.configure(routes=[], services=[])
        case 'another service':
            services = [*rig.configuration()['services'], {'name': 'other'}]
            routes = _changed_routes(rig, service='other')
            rig.configure(routes=routes, services=services)
        case 'another key':
            rig.keys = ['another-key']
            rig.configure()
        case 'no servers':
            for name in (*ENGINES, *DESKS):
                rig.put('servers', name, None)
        case 'shorter time-outs':
            rig.configure(routes=_changed_routes(rig, timeoutMs=1000))
        case 'one attempt':
            rig.configure(routes=_changed_routes(rig, maxAttempts=1))
        case 'more routes':
            rig.configure(routes=_more_routes(rig, FEW_ROUTES))
        case 'many routes':
            rig.configure(routes=_more_routes(rig, MANY_ROUTES))


@pytest.fixture
def rig(fleet):
    started = PlatformRig(fleet)
    for name in ENGINES:
        started.add_server(name, 'narrator', event_ms=EVENT_MS)
    for name in DESKS:
        started.add_server(name, 'desk', work_ms=WORK_MS)
    for front in FRONTS:
        started.add_front(front, shares=True)
    return started


def _start_callers(
    rig, answers, requested=(STREAM_PATH, LOOKUP_PATH, CALL_PATH)
):
    def call(front, path, headers):
        address = rig.fronts[front]
        answers.append((path, send(address, path, headers=headers)))

    paths = requested * CALLERS
    threads = [
        threading.Thread(
            target=call,
            args=(front, path, request_headers(Token_Count=TOKENS)),
        )
        for front, path in itertools.product(FRONTS, paths)
    ]
    for thread in threads:
        thread.start()
    return threads


@pytest.mark.parametrize('silent', [(), ('e1', 'd1')], ids=['sound', 'silent'])
@pytest.mark.parametrize(
    'kind',
    [
        'no routes',
        'no services',
        'another service',
        'another key',
        'no servers',
        'shorter time-outs',
        'one attempt',
        'more routes',
        'many routes',
    ],
)
def test_a_change_of_the_configuration_ends_no_request_in_progress(
    rig, kind, silent
):
    answers = []
    threads = _start_callers(rig, answers)
    time.sleep(STARTS_S)
    for name in silent:
        rig.fleet.pause(name)
    _change(rig, kind)
    time.sleep(SILENT_S)
    for name in silent:
        rig.fleet.resume(name)
    for thread in threads:
        thread.join()
    ended = [
        (path, answer.status, len(answer.events), round(answer.took_s, 2))
        for path, answer in answers
        if answer.status != OK or not answer.whole
    ]
    assert not ended, ended


# Streams that go on elsewhere follow the version they began with.
@pytest.mark.parametrize(
    'kind',
    [
        'no routes',
        'no services',
        'another service',
        'another key',
        'shorter time-outs',
        'one attempt',
        'more routes',
        'many routes',
    ],
)
def test_a_change_of_the_configuration_ends_no_stream_that_goes_on(rig, kind):
    rig.fleet.control('e1', break_after=BREAK_AFTER)
    answers = []
    threads = _start_callers(rig, answers, (STREAM_PATH,))
    time.sleep(STARTS_S)
    _change(rig, kind)
    for thread in threads:
        thread.join()
    assert rig.runs('e1')
    cut = [
        (answer.status, len(answer.events))
        for _, answer in answers
        if not answer.whole or answer.events != list(range(1, EVENTS + 1))
    ]
    assert not cut, cut
