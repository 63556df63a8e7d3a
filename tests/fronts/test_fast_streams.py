"""Sound streams beside answers that use much of a front's time."""

import json
import threading

import pytest

from standins.endless import EndlessProcess
from standins.fronts import (
    LOOKUP_PATH,
    STREAM_PATH,
    PlatformRig,
    request_headers,
    send,
)

EVENT_MS = 2
EVENTS = 400
TOKENS_PER_EVENT = 7


@pytest.fixture
def rig(fleet):
    return PlatformRig(fleet)


def _register(rig, service, addresses):
    for number, address in enumerate(addresses):
        entry = {
            'service': service,
            'address': address,
            'zone': 'north-1',
            'state': 'ready',
            'slots': 12,
        }
        rig.put('servers', f'endless{number}', entry)


def _ended_streams(rig):
    log = (rig.fleet.folder / 'front.out').read_text()
    lines = [json.loads(line) for line in log.splitlines()]
    return [
        line
        for line in lines
        if line['message'] == 'request ended' and line['route'] == 'rnarrate'
    ]


# A stream that its front had not read for some time was taken for silent.
@pytest.mark.parametrize('count', [8, 50])
def test_a_stream_that_waits_to_be_read_is_not_silent(rig, count):
    rig.add_server('n1', 'narrator', event_ms=EVENT_MS)
    rig.add_server('n2', 'narrator', event_ms=EVENT_MS)
    engines = EndlessProcess('chunks of two bytes', count)
    _register(rig, 'desk', engines.addresses)
    address = rig.add_front('front')
    callers = [
        threading.Thread(
            target=send,
            args=(address, LOOKUP_PATH),
            kwargs={'headers': request_headers()},
        )
        for _ in range(count)
    ]
    for caller in callers:
        caller.start()
    headers = request_headers(Token_Count=f'100,{EVENTS * TOKENS_PER_EVENT}')
    answer = send(address, STREAM_PATH, headers=headers)
    for caller in callers:
        caller.join()
    engines.close()
    (ended,) = _ended_streams(rig)
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert ended['sends'] == 1, ended


# A stream that is paused for its size is still silent if it has no events.
def test_a_stream_of_much_without_events_is_silent(rig):
    engines = EndlessProcess('lines of two bytes', 1)
    _register(rig, 'narrator', engines.addresses)
    rig.add_server('n1', 'narrator', 'north-2', event_ms=EVENT_MS)
    address = rig.add_front('front')
    headers = request_headers(Token_Count=f'100,{EVENTS * TOKENS_PER_EVENT}')
    answer = send(address, STREAM_PATH, headers=headers)
    engines.close()
    (ended,) = _ended_streams(rig)
    assert answer.whole, ended
    assert ended['backend_servers'] == ['endless0', 'n1']
